#include <LibEntry/WorkspaceLimits.h>

#include <algorithm>

namespace GraniteField::Entry {

namespace {

/// Time for which unused rate accumulates, in seconds.
constexpr double s_burst_seconds = 1;
constexpr Core::Milliseconds s_concurrency_retry_after {1000};

}

WorkspaceLimits::Usage& WorkspaceLimits::usage_of(Table::Workspace const& workspace)
{
    if (m_usages.size() >= s_max_workspaces && !m_usages.contains(workspace.name))
        absl::erase_if(m_usages, [](auto const& item) { return item.second.open == 0; });
    auto& usage = m_usages[workspace.name];
    bool const is_current = usage.requests_per_second == workspace.requests_per_second
        && usage.tokens_per_second == workspace.tokens_per_second && usage.entry_count == m_entry_count;
    if (is_current)
        return usage;
    bool const is_new = usage.entry_count == 0;
    auto const share = 1.0 / static_cast<double>(m_entry_count);
    auto const set_rate = [&](Policy::TokenBucket& bucket, unsigned limit) {
        auto const rate = std::max(limit * share, 1e-3);
        auto const burst = std::max(rate * s_burst_seconds, 1.0);
        if (is_new)
            bucket = Policy::TokenBucket(rate, burst);
        else
            bucket.set_rate(rate, burst);
    };
    set_rate(usage.requests, workspace.requests_per_second);
    set_rate(usage.tokens, workspace.tokens_per_second);
    usage.requests_per_second = workspace.requests_per_second;
    usage.tokens_per_second = workspace.tokens_per_second;
    usage.entry_count = m_entry_count;
    return usage;
}

std::optional<WorkspaceLimits::Excess> WorkspaceLimits::enter(
    Table::Workspace const& workspace, Core::MonotonicTime now)
{
    auto& usage = usage_of(workspace);
    if (workspace.concurrency != 0 && usage.open >= workspace.concurrency)
        return Excess {"concurrency", s_concurrency_retry_after};
    if (workspace.requests_per_second != 0) {
        auto const wait = usage.requests.wait_for(1, now);
        if (wait.count() > 0)
            return Excess {"requests-per-second", wait};
    }
    if (workspace.tokens_per_second != 0) {
        // The length of an answer is not known in advance, so a request may start as long as the bucket is not in debt.
        auto const wait = usage.tokens.wait_for(1, now);
        if (wait.count() > 0)
            return Excess {"tokens-per-second", wait};
    }
    if (workspace.requests_per_second != 0)
        usage.requests.charge(1, now);
    ++usage.open;
    return std::nullopt;
}

void WorkspaceLimits::leave(Table::Workspace const& workspace)
{
    auto const found = m_usages.find(workspace.name);
    if (found != m_usages.end() && found->second.open > 0)
        --found->second.open;
}

void WorkspaceLimits::charge_tokens(Table::Workspace const& workspace, std::uint32_t tokens, Core::MonotonicTime now)
{
    if (workspace.tokens_per_second != 0 && tokens > 0)
        usage_of(workspace).tokens.charge(tokens, now);
}

}
