#include <LibPolicy/Admission.h>

#include <algorithm>

namespace GraniteField::Policy {

namespace {

Core::Milliseconds whole(FineTime time)
{
    return std::chrono::duration_cast<Core::Milliseconds>(time);
}

}

bool Admission::is_recent(std::optional<Core::MonotonicTime> time, Core::MonotonicTime now)
{
    return time && Core::elapsed(*time, now) < s_closure;
}

bool Admission::is_closed(Service const& service, unsigned rank, Core::MonotonicTime now)
{
    bool const is_pressed = std::any_of(service.ranks.begin(), service.ranks.lower_bound(rank),
        [now](auto const& item) { return is_recent(item.second.pressed, now); });
    if (!is_pressed)
        return false;
    // Shed lower priorities first.
    return std::none_of(service.ranks.upper_bound(rank), service.ranks.end(),
        [now](auto const& item) { return is_recent(item.second.admitted_openly, now); });
}

bool Admission::is_lower_rank_open(Service const& service, unsigned rank, Core::MonotonicTime now)
{
    return std::any_of(service.ranks.upper_bound(rank), service.ranks.end(),
        [now](auto const& item) { return is_recent(item.second.admitted, now); });
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

std::optional<Rejection> Admission::refuse(AdmissionQuestion const& question, double draw, Core::MonotonicTime now)
{
    auto& service = m_services[question.service];
    auto& request_class = service.classes[question.request_class];
    auto const& correction = request_class.correction;
    auto& rank = service.ranks[question.rank];
    auto const left = question.target - question.elapsed;
    auto const probable_wait = correction.most(question.predicted_wait);
    bool const seems_late = probable_wait > left;
    bool const is_closed_to_it = is_closed(service, question.rank, now);
    if (seems_late && is_trial(request_class) && !is_closed_to_it) {
        ++request_class.trials;
        rank.admitted = now;
        rank.admitted_openly = now;
        return std::nullopt;
    }
    if (!seems_late)
        rank.short_since.reset();
    else if (!rank.short_since)
        rank.short_since = now;
    FineTime const lasted = rank.short_since ? now - *rank.short_since : FineTime(0);
    bool const is_middle_late = correction.middle(question.predicted_wait) > left;
    bool const is_late = is_middle_late || (rank.short_since && lasted >= question.target * s_patience_part);
    if (is_late)
        rank.pressed = now;
    bool const is_in_place = is_closed_to_it && (is_late || ++rank.closed_count % s_floor != 0);
    if (!is_in_place && (!is_late || is_lower_rank_open(service, question.rank, now))) {
        rank.admitted = now;
        if (!is_closed_to_it)
            rank.admitted_openly = now;
        return std::nullopt;
    }
    auto const reason = is_middle_late ? RejectionReason::Late
        : is_late                      ? RejectionReason::Shortage
                                       : RejectionReason::HigherRank;
    return Rejection {retry_after(question, probable_wait, lasted, draw), reason, probable_wait};
}

bool Admission::is_trial(Class const& request_class)
{
    return !request_class.correction.is_proven() && request_class.trials < s_trials;
}

Core::Milliseconds Admission::retry_after(
    AdmissionQuestion const& question, FineTime probable_wait, FineTime shortage, double draw)
{
    auto const lateness = probable_wait - (question.target - question.elapsed);
    auto const longest = std::max(s_shortest_return, question.patience * s_longest_return_part);
    auto const shortest_middle = s_shortest_return / (1 - s_return_spread);
    auto const longest_middle = std::max(shortest_middle, longest / (1 + s_return_spread));
    // A shortage will probably last about as long again as it has lasted.
    auto const middle = std::clamp(std::max(lateness, shortage), shortest_middle, longest_middle);
    return whole(middle * (1 + s_return_spread * (2 * draw - 1)));
}

}
