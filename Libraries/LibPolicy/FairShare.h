#pragma once

#include <LibCore/Time.h>

#include <chrono>
#include <string>

#include <absl/container/flat_hash_map.h>

namespace GraniteField::Policy {

/// Start-time fair queueing over flows (a class and a workspace) of one tier.
///
/// Each attempt gets a start tag; a flow that asks for more than its weight runs ahead of the tier's
/// virtual time. How far it is ahead is added to its attempts' deadlines, so that inside its share a
/// flow is served by deadline alone, and beyond it the others come first.
class FairShare {
public:
    using VirtualTime = std::chrono::duration<double>;

    /// Flows that are remembered; the ones that are not ahead are forgotten first.
    static constexpr std::size_t s_largest_flow_count = 16'384;

    /// Enters an attempt and says how far its flow is ahead of its share.
    [[nodiscard]] VirtualTime enter(std::string const& flow, unsigned weight, Core::Milliseconds expected_service)
    {
        if (m_finish_tags.size() >= s_largest_flow_count)
            forget_idle_flows();
        auto& finish_tag = m_finish_tags[flow];
        auto const start_tag = std::max(finish_tag, m_virtual_time);
        finish_tag = start_tag + VirtualTime(expected_service) / static_cast<double>(weight);
        return start_tag - m_virtual_time;
    }

    /// An attempt that was this far ahead when it entered at `entered_at` starts to run.
    void start(VirtualTime entered_at, VirtualTime lead)
    {
        m_virtual_time = std::max(m_virtual_time, entered_at + lead);
    }

    [[nodiscard]] VirtualTime virtual_time() const { return m_virtual_time; }

private:
    void forget_idle_flows()
    {
        absl::erase_if(m_finish_tags, [this](auto const& flow) { return flow.second <= m_virtual_time; });
        if (m_finish_tags.size() >= s_largest_flow_count)
            m_finish_tags.clear();
    }

    VirtualTime m_virtual_time {0};
    absl::flat_hash_map<std::string, VirtualTime> m_finish_tags;
};

}
