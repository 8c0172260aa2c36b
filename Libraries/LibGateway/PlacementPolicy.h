#pragma once

#include <LibGateway/BackendView.h>
#include <LibGateway/EngineModel.h>
#include <LibGateway/RoutedRequest.h>
#include <LibPolicy/ExpectedLoss.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace GraniteField::Gateway {

/// The chosen backend server, with the estimates behind the choice for the log.
struct Choice {
    std::shared_ptr<BackendView> server;
    /// The engine from which missing parts of the prompt are fetched; null for none.
    std::shared_ptr<BackendView> source;
    /// Estimated numbers of prompt tokens to prefill and to fetch from the source.
    std::uint32_t unread_tokens {0};
    std::uint32_t moved_tokens {0};
    /// Predicted time to the first token.
    Core::Milliseconds predicted_wait {0};
    /// Part of it that the request causes itself, at an engine without other requests.
    Core::Milliseconds idle_wait {0};
    /// Expected loss of the placement, as a share of the value of one request.
    double expected_loss {0};
    /// Whether a long prefill on the same engine makes this stream miss its pause target.
    bool is_pause_sensitive {false};
    std::size_t candidates {0};

    /// Makes the engine prefill the tokens that it would have fetched.
    void cancel_fetch()
    {
        unread_tokens += std::exchange(moved_tokens, 0);
        source.reset();
    }
};

/// A backend server that is eligible for the request.
struct Candidate {
    std::shared_ptr<BackendView> server;
    /// Position in the prompt's preference order of the service's engines; 0 is its home.
    std::size_t rank {0};
    /// Whether other engines may fetch prompts from it.
    bool is_source {true};
};

/// Compares backend servers by the expected loss of value, for the request itself and for the requests that it delays.
/// Estimates the behaviour of engines from their responses. Used on the gateway's thread only.
class PlacementPolicy {
public:
    struct Settings {
        /// Failure domain of this gateway; its servers are preferred among otherwise equal ones.
        std::string failure_domain;
        /// Region of each failure domain.
        std::map<std::string, std::string> regions;
        /// Differs between gateways, to spread the times at which they try a suspected server again.
        std::uint64_t seed {0};
        /// Behaviour assumed of engines until responses have been observed.
        EngineModel::Prior engine_prior;
        /// Delay that each running request adds to the first token of the next request at an engine.
        Core::Milliseconds cost_per_running {4};
        /// Loss to other requests while an engine prefills for as long as the target for the first token. Keeps prompts
        /// at the engines that have cached their shared parts.
        double reading_weight {8};
        /// Loss of sending a megabyte of body to another failure domain; small, so that it only decides between
        /// otherwise equal servers.
        double domain_change_weight {0.3};
    };

    explicit PlacementPolicy(Settings settings)
        : m_settings(std::move(settings))
        , m_default_model(m_settings.engine_prior)
    {
    }

    void set_settings(Settings settings)
    {
        m_settings = std::move(settings);
        m_default_model = EngineModel(m_settings.engine_prior);
    }

    /// Reads the pause targets of each service.
    void apply(Table::Table const&);

    /// Returns the best candidate; no server if there is none.
    [[nodiscard]] Choice choose(std::vector<Candidate> const&, RoutedRequest const&, Core::MonotonicTime now) const;

    /// Returns the model of a service's engines, to be updated with observed responses.
    [[nodiscard]] EngineModel& engine_model(std::string const& service);

private:
    using Time = Policy::FractionalMilliseconds;

    /// Properties of a request that are the same for all candidates.
    struct RequestProfile {
        std::uint32_t prompt_tokens {0};
        Policy::LatenessLoss lateness;
        EngineModel const* model {nullptr};
        Time pause_target {0};
        bool is_pause_sensitive {false};
        /// Tightest pause target of the classes that use the service.
        Time tightest_pause_target {0};
    };

    /// The candidate with the largest estimated cached prefix of the prompt.
    struct PrefixHolder {
        std::shared_ptr<BackendView> server;
        double tokens {0};
    };

    /// Estimated cached prefixes of the prompt.
    struct CacheEstimate {
        /// Number of cached prefix tokens for each candidate.
        std::vector<double> cached_tokens;
        PrefixHolder holder;
        /// Number of tokens that other prompts share.
        double shared_tokens {0};
    };

    /// Estimated effect of placing the request at a candidate.
    struct Estimate {
        Time wait {0};
        Time idle_wait {0};
        double loss {0};
        std::uint32_t unread_tokens {0};
        std::uint32_t moved_tokens {0};
    };

    [[nodiscard]] RequestProfile profile_of(RoutedRequest const&, Core::MonotonicTime now) const;
    [[nodiscard]] EngineModel const& model_of(std::string const& service) const;
    [[nodiscard]] static Estimate estimate_plain(BackendView const&, RequestProfile const&);
    [[nodiscard]] static CacheEstimate estimate_cache(std::vector<Candidate> const&, RoutedRequest const&);
    [[nodiscard]] Estimate estimate_engine(
        BackendView const&, double cached_tokens, double cached_elsewhere, RequestProfile const&) const;
    /// Returns the loss to other prompts when this prompt's shared parts are copied to the candidate.
    [[nodiscard]] double copy_loss(
        Candidate const&, CacheEstimate const&, std::size_t index, RequestProfile const&) const;
    [[nodiscard]] double domain_loss(BackendView const&, RoutedRequest const&) const;
    /// Returns the expected loss of the request's own stream by pauses above its target.
    [[nodiscard]] static double own_pause_loss(BackendView const&, RequestProfile const&);
    /// Returns the expected number of streams that a prefill of this size makes late, including streams that arrive
    /// meanwhile.
    [[nodiscard]] static double delayed_streams(BackendView const&, std::uint32_t unread_tokens, RequestProfile const&);

    Settings m_settings;
    /// For services whose engines have not responded yet.
    EngineModel m_default_model;
    std::map<std::string, EngineModel> m_models;
    std::map<std::string, Time> m_tightest_pause_targets;
};

}
