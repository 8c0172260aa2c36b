#pragma once

#include <LibCore/Text.h>
#include <LibCore/Time.h>

#include <string>

#include <absl/container/flat_hash_map.h>

namespace GraniteField::Policy {

/// Predicts the service time of answers from past ones. The length of an answer is not known in advance; the
/// prediction is the recent mean of the class and workspace, of the class if there are too few samples, or of all
/// answers.
class ServicePredictor {
public:
    struct Prediction {
        /// Time for which a slot is held.
        Core::Milliseconds service {0};
        /// Time from the start to the first token.
        Core::Milliseconds first_token {0};
    };

    /// Maximum number of remembered flows. Others are predicted from their class.
    static constexpr std::size_t s_max_flows = 8192;

    void record(std::string const& request_class, std::string const& workspace, Prediction const& actual)
    {
        m_all.add(actual);
        add(request_class, actual);
        add(flow_of(request_class, workspace), actual);
    }

    [[nodiscard]] Prediction predict(std::string const& request_class, std::string const& workspace) const
    {
        for (auto const& key : {flow_of(request_class, workspace), request_class}) {
            auto const found = m_means.find(key);
            if (found != m_means.end() && found->second.count >= s_min_answers)
                return found->second.prediction();
        }
        return m_all.prediction();
    }

    [[nodiscard]] Prediction overall() const { return m_all.prediction(); }

private:
    static std::string flow_of(std::string const& request_class, std::string const& workspace)
    {
        return Core::concat(request_class, "/", workspace);
    }

    static constexpr unsigned s_min_answers = 5;
    static constexpr double s_gain = 0.1;

    struct Mean {
        unsigned count {0};
        double service {0};
        double first_token {0};

        void add(Prediction const& actual)
        {
            ++count;
            // Plain mean of the first answers, so that the estimate does not start at zero.
            auto const gain = std::max(s_gain, 1.0 / count);
            service += gain * (static_cast<double>(actual.service.count()) - service);
            first_token += gain * (static_cast<double>(actual.first_token.count()) - first_token);
        }

        [[nodiscard]] Prediction prediction() const
        {
            return {Core::Milliseconds(static_cast<std::int64_t>(service)),
                Core::Milliseconds(static_cast<std::int64_t>(first_token))};
        }
    };

    void add(std::string const& key, Prediction const& actual)
    {
        if (m_means.size() >= s_max_flows && !m_means.contains(key))
            return;
        m_means[key].add(actual);
    }

    Mean m_all;
    absl::flat_hash_map<std::string, Mean> m_means;
};

}
