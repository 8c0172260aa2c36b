#include <LibPolicy/Admission.h>

#include <algorithm>

namespace GraniteField::Policy {

namespace {

Core::Milliseconds to_whole_milliseconds(FractionalMilliseconds time)
{
    return std::chrono::duration_cast<Core::Milliseconds>(time);
}

}

bool Admission::is_recent(std::optional<Core::MonotonicTime> time, Core::MonotonicTime now)
{
    return time && Core::elapsed(*time, now) < s_closure_time;
}

bool Admission::is_closed(Service const& service, unsigned rank, Core::MonotonicTime now)
{
    bool const is_higher_rank_late = std::any_of(service.ranks.begin(), service.ranks.lower_bound(rank),
        [now](auto const& item) { return is_recent(item.second.last_late, now); });
    if (!is_higher_rank_late)
        return false;
    // Shed lower priorities first.
    return std::none_of(service.ranks.upper_bound(rank), service.ranks.end(),
        [now](auto const& item) { return is_recent(item.second.last_admitted_while_open, now); });
}

bool Admission::is_lower_rank_open(Service const& service, unsigned rank, Core::MonotonicTime now)
{
    return std::any_of(service.ranks.upper_bound(rank), service.ranks.end(),
        [now](auto const& item) { return is_recent(item.second.last_admitted, now); });
}

char const* to_string(RejectionReason reason)
{
    switch (reason) {
    case RejectionReason::Late:
        return "late";
    case RejectionReason::Shortage:
        return "shortage";
    case RejectionReason::HigherRank:
        return "higher-rank";
    }
    return "unknown";
}

std::optional<Rejection> Admission::check(AdmissionRequest const& request, double draw, Core::MonotonicTime now)
{
    auto& service = m_services[request.service];
    auto& request_class = service.classes[request.request_class];
    auto const& correction = request_class.correction;
    auto& rank = service.ranks[request.rank];
    auto const remaining = request.target - request.elapsed;
    auto const probable_wait = correction.percentile_80(request.predicted_wait);
    bool const seems_late = probable_wait > remaining;
    bool const is_rank_closed = is_closed(service, request.rank, now);
    if (seems_late && is_trial(request_class) && !is_rank_closed) {
        ++request_class.trials;
        rank.last_admitted = now;
        rank.last_admitted_while_open = now;
        return std::nullopt;
    }
    if (!seems_late)
        rank.late_since.reset();
    else if (!rank.late_since)
        rank.late_since = now;
    FractionalMilliseconds const shortage_time = rank.late_since ? now - *rank.late_since : FractionalMilliseconds(0);
    bool const is_median_late = correction.median(request.predicted_wait) > remaining;
    bool const is_late
        = is_median_late || (rank.late_since && shortage_time >= request.target * s_shortage_delay_fraction);
    if (is_late)
        rank.last_late = now;
    bool const is_rejected_by_rank = is_rank_closed && (is_late || ++rank.closed_count % s_floor_interval != 0);
    if (!is_rejected_by_rank && (!is_late || is_lower_rank_open(service, request.rank, now))) {
        rank.last_admitted = now;
        if (!is_rank_closed)
            rank.last_admitted_while_open = now;
        return std::nullopt;
    }
    auto const reason = is_median_late ? RejectionReason::Late
        : is_late                      ? RejectionReason::Shortage
                                       : RejectionReason::HigherRank;
    return Rejection {retry_after(request, probable_wait, shortage_time, draw), reason, probable_wait};
}

bool Admission::is_trial(Class const& request_class)
{
    return !request_class.correction.has_enough_samples() && request_class.trials < s_max_trials;
}

Core::Milliseconds Admission::retry_after(
    AdmissionRequest const& request, FractionalMilliseconds probable_wait, FractionalMilliseconds shortage, double draw)
{
    auto const lateness = probable_wait - (request.target - request.elapsed);
    auto const max_delay = std::max(s_min_retry_after, request.remaining_time * s_max_retry_after_fraction);
    auto const min_mean = s_min_retry_after / (1 - s_retry_after_jitter);
    auto const max_mean = std::max(min_mean, max_delay / (1 + s_retry_after_jitter));
    // A shortage is expected to last about as long again as it has lasted.
    auto const mean = std::clamp(std::max(lateness, shortage), min_mean, max_mean);
    return to_whole_milliseconds(mean * (1 + s_retry_after_jitter * (2 * draw - 1)));
}

}
