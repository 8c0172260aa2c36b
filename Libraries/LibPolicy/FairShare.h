#pragma once

#include <LibCore/Time.h>

#include <chrono>
#include <string>

#include <absl/container/flat_hash_map.h>

namespace GraniteField::Policy {

/// Start-time fair queueing over the flows of one tier. A flow is a class and a workspace.
///
/// Each attempt gets a start tag. The tags of a flow that requests more than its weight run ahead of the tier's
/// virtual time. This lead is added to the deadlines of its attempts: within its share a flow is ordered by deadline
/// alone, beyond it other flows come first.
class FairShare {
public:
    using VirtualTime = std::chrono::duration<double>;

    /// Maximum number of remembered flows. Flows without a lead are dropped first.
    static constexpr std::size_t s_max_flows = 16'384;

    /// Adds an attempt and returns the lead of its flow.
    [[nodiscard]] VirtualTime enter(std::string const& flow, unsigned weight, Core::Milliseconds expected_service)
    {
        if (m_finish_tags.size() >= s_max_flows)
            forget_idle_flows();
        auto& finish_tag = m_finish_tags[flow];
        auto const start_tag = std::max(finish_tag, m_virtual_time);
        finish_tag = start_tag + VirtualTime(expected_service) / static_cast<double>(weight);
        return start_tag - m_virtual_time;
    }

    /// Advances the virtual time when an attempt starts that was added at `entered_at` with that lead.
    void start(VirtualTime entered_at, VirtualTime lead)
    {
        m_virtual_time = std::max(m_virtual_time, entered_at + lead);
    }

    [[nodiscard]] VirtualTime virtual_time() const { return m_virtual_time; }

private:
    void forget_idle_flows()
    {
        absl::erase_if(m_finish_tags, [this](auto const& flow) { return flow.second <= m_virtual_time; });
        if (m_finish_tags.size() >= s_max_flows)
            m_finish_tags.clear();
    }

    VirtualTime m_virtual_time {0};
    absl::flat_hash_map<std::string, VirtualTime> m_finish_tags;
};

}
