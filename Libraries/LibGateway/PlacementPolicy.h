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

/// Why a backend server was chosen; for the log.
struct Choice {
    std::shared_ptr<BackendView> server;
    /// The engine from which it fetches what it lacks of the prompt's beginning; null for none.
    std::shared_ptr<BackendView> source;
    /// Prompt tokens that it is believed to read for this request, and to fetch.
    std::uint32_t unread_tokens {0};
    std::uint32_t moved_tokens {0};
    /// Time until the first piece of the answer, as predicted.
    Core::Milliseconds predicted_wait {0};
    /// What the placement is expected to cost, as a share of one request's worth.
    double expected_loss {0};
    /// Whether a long prompt's reading beside it makes it late.
    bool is_pause_sensitive {false};
    std::size_t candidates {0};

    /// Lets the engine read what it would have fetched.
    void cancel_fetch()
    {
        unread_tokens += std::exchange(moved_tokens, 0);
        source.reset();
    }
};

/// A backend server that may take the request.
struct Candidate {
    std::shared_ptr<BackendView> server;
    /// Place in the prompt's own order of the service's engines; 0 is its home.
    std::size_t rank {0};
    /// Whether other engines may fetch prompts from it.
    bool is_source {true};
};

/// Weighs backend servers against each other by one measure: the expected loss of worth, of the request itself and of
/// those that it disturbs. It learns how engines behave from their answers. On the gateway's thread only.
class PlacementPolicy {
public:
    struct Settings {
        /// Where this gateway stands; servers there are preferred among equals.
        std::string failure_domain;
        /// The region of each failure domain.
        std::map<std::string, std::string> regions;
        /// Of this gateway alone; spreads when gateways try a suspected server again.
        std::uint64_t seed {0};
        /// How engines are taken to behave until their answers tell better.
        EngineModel::Prior engine_prior;
        /// What each request that runs at an engine adds to the next one's first token.
        Core::Milliseconds cost_per_running {4};
        /// Loss to others of keeping an engine reading for as long as the request's target for its first piece. It
        /// keeps prompts where their shared parts are.
        double reading_weight {8};
        /// Loss of sending a megabyte of body to another failure domain; small, so that it decides among equals only.
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

    /// Pause targets by service.
    void apply_table(Table::Table const&);

    /// The best of the candidates; no server when there is none.
    [[nodiscard]] Choice choose(std::vector<Candidate> const&, RoutedRequest const&, Core::MonotonicTime now) const;

    /// How the engines of a service behave; learns from their answers.
    [[nodiscard]] EngineModel& engine_model(std::string const& service);

private:
    using Time = Policy::FineTime;

    /// What a request asks of any candidate.
    struct RequestProfile {
        std::uint32_t prompt_tokens {0};
        Policy::LatenessLoss lateness;
        EngineModel const* model {nullptr};
        Time pause_target {0};
        bool is_pause_sensitive {false};
        /// The tightest pause target of those who use the service.
        Time tightest_pause_target {0};
    };

    /// Where the most of a prompt's beginning is believed to be kept.
    struct PrefixHolder {
        std::shared_ptr<BackendView> server;
        double tokens {0};
    };

    /// What the candidates are believed to keep of a prompt.
    struct CacheEstimate {
        /// Tokens of its beginning, for each candidate.
        std::vector<double> cached_tokens;
        PrefixHolder holder;
        /// Tokens that other prompts share.
        double shared_tokens {0};
    };

    /// What a request would meet at a candidate.
    struct Estimate {
        Time wait {0};
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
    /// What other prompts lose by a new copy of this one's shared parts there.
    [[nodiscard]] double copy_loss(
        Candidate const&, CacheEstimate const&, std::size_t index, RequestProfile const&) const;
    [[nodiscard]] double domain_loss(BackendView const&, RoutedRequest const&) const;
    /// Probability that the request's own stream is late by a pause there.
    [[nodiscard]] static double own_pause_loss(BackendView const&, RequestProfile const&);
    /// Streams there that reading so much more makes late, those that come meanwhile included.
    [[nodiscard]] static double delayed_streams(BackendView const&, std::uint32_t unread_tokens, RequestProfile const&);

    Settings m_settings;
    /// Of services whose engines have not answered yet.
    EngineModel m_default_model;
    std::map<std::string, EngineModel> m_models;
    std::map<std::string, Time> m_tightest_pause_targets;
};

}
