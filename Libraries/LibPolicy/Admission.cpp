#include <LibPolicy/Admission.h>

#include <algorithm>

namespace GraniteField::Policy {

namespace {

Core::Milliseconds to_whole_milliseconds(FractionalMilliseconds time)
{
    return std::chrono::duration_cast<Core::Milliseconds>(time);
}

/// Fleet counts do not distinguish arrivals, which only the gateways of a failure domain recognize.
AdmissionClass counted_class(AdmissionClass admission_class)
{
    admission_class.arrival = Arrival::New;
    return admission_class;
}

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
    case RejectionReason::Share:
        return "share";
    }
    return "unknown";
}

bool Admission::is_recent(std::optional<Core::MonotonicTime> time, Core::MonotonicTime now)
{
    return time && Core::elapsed(*time, now) < s_closure_time;
}

ClassCounts const* Admission::fleet_counts(Service const& service, AdmissionClass admission_class) const
{
    if (!m_settings.is_fleet_wide || admission_class.arrival == Arrival::Returning)
        return nullptr;
    auto const found = service.summary.demand.classes.find(admission_class);
    return found == service.summary.demand.classes.end() ? nullptr : &found->second;
}

double Admission::closing_degree(Service const& service, AdmissionClass admission_class, Core::MonotonicTime now) const
{
    if (auto const* counts = fleet_counts(service, admission_class)) {
        auto const late_fraction = static_cast<double>(counts->late) / std::max(1U, counts->requested);
        constexpr auto range = s_closed_late_fraction - s_closing_late_fraction;
        return std::clamp((late_fraction - s_closing_late_fraction) / range, 0.0, 1.0);
    }
    auto const history = service.histories.find(admission_class);
    return history != service.histories.end() && is_recent(history->second.last_late, now) ? 1 : 0;
}

bool Admission::is_class_admitted(Service const& service, AdmissionClass admission_class, Core::MonotonicTime now) const
{
    if (auto const* counts = fleet_counts(service, admission_class))
        return counts->admitted > 0;
    auto const history = service.histories.find(admission_class);
    return history != service.histories.end() && is_recent(history->second.last_admitted, now);
}

bool Admission::is_class_open(Service const& service, AdmissionClass admission_class, Core::MonotonicTime now) const
{
    if (auto const* counts = fleet_counts(service, admission_class))
        return counts->admitted_while_open > s_min_open_fraction * counts->requested;
    auto const history = service.histories.find(admission_class);
    return history != service.histories.end() && is_recent(history->second.last_admitted_while_open, now);
}

std::vector<AdmissionClass> Admission::known_classes(Service const& service) const
{
    std::vector<AdmissionClass> classes;
    for (auto const& [admission_class, history] : service.histories)
        classes.push_back(admission_class);
    if (!m_settings.is_fleet_wide)
        return classes;
    for (auto const& [admission_class, counts] : service.summary.demand.classes) {
        if (!service.histories.contains(admission_class))
            classes.push_back(admission_class);
    }
    return classes;
}

bool Admission::is_closed(
    Service const& service, AdmissionClass admission_class, double draw, Core::MonotonicTime now) const
{
    auto const classes = known_classes(service);
    // Within a rank, the headroom keeps workspaces beyond their share from delaying others; closing would reject
    // requests that there is room for.
    auto const is_above = [&](AdmissionClass other) {
        bool const is_same_standing = other.rank == admission_class.rank && other.standing == admission_class.standing;
        return other.rank < admission_class.rank || (is_same_standing && other.arrival < admission_class.arrival);
    };
    bool const is_closed_by_higher_class = std::ranges::any_of(
        classes, [&](auto other) { return is_above(other) && closing_degree(service, other, now) > draw; });
    if (!is_closed_by_higher_class)
        return false;
    // Shed lower classes first.
    return std::ranges::none_of(
        classes, [&](auto other) { return other > admission_class && is_class_open(service, other, now); });
}

bool Admission::is_lower_rank_admitted(
    Service const& service, AdmissionClass admission_class, Core::MonotonicTime now) const
{
    // A late request gains nothing by the rejection of others of its rank: it would only be late itself.
    return std::ranges::any_of(known_classes(service),
        [&](auto other) { return other.rank > admission_class.rank && is_class_admitted(service, other, now); });
}

Admission::Class& Admission::class_of(NameHash key)
{
    if (m_classes.size() >= s_max_classes && !m_classes.contains(key))
        m_classes.clear();
    return m_classes[key];
}

void Admission::note_wait(std::string const& service, std::string const& request_class,
    FractionalMilliseconds predicted, FractionalMilliseconds actual, Core::MonotonicTime now)
{
    if (!WaitCorrection::is_sample(predicted))
        return;
    auto const key = WaitSamples::key_of(service, request_class);
    note_ratio(key, actual / predicted, now);
    if (m_settings.is_fleet_wide)
        m_wait_samples.add(key, actual / predicted);
}

void Admission::note_ratio(NameHash key, double ratio, Core::MonotonicTime now)
{
    auto& request_class = class_of(key);
    double weight = 1;
    if (m_settings.is_fleet_wide && request_class.last_sample) {
        FractionalMilliseconds const interval = now - *request_class.last_sample;
        weight = std::clamp(interval / s_full_sample_interval, 0.0, 1.0);
    }
    request_class.last_sample = now;
    request_class.correction.note_ratio(ratio, weight);
}

void Admission::receive(WaitSample const& sample, Core::MonotonicTime now)
{
    constexpr double permille = 1'000;
    note_ratio(sample.key, sample.ratio_permille / permille, now);
}

Admission::Summary Admission::summary(std::string const& service, Core::MonotonicTime now) const
{
    Summary summary;
    summary.demand = m_demand.total(service, now);
    summary.level = m_shares.level(summary.demand);
    return summary;
}

void Admission::update_summary(Service& service, std::string const& name, Core::MonotonicTime now) const
{
    bool const is_needed = m_settings.is_fleet_wide || m_settings.uses_workspace_shares;
    if (!is_needed || (service.summarized_at && Core::elapsed(*service.summarized_at, now) < s_summary_interval))
        return;
    service.summary = summary(name, now);
    if (service.summarized_at)
        update_headroom(service, now - *service.summarized_at);
    service.summarized_at = now;
}

void Admission::update_headroom(Service& service, DecayingRate::Seconds elapsed)
{
    bool const is_any_within_late = std::ranges::any_of(service.summary.demand.classes, [](auto const& item) {
        auto const& [admission_class, counts] = item;
        return admission_class.standing == ShareStanding::Within
            && counts.late > s_closing_late_fraction * counts.requested;
    });
    auto const change = is_any_within_late ? s_headroom_growth : -s_headroom_decline;
    service.headroom = std::clamp(service.headroom + change * elapsed.count(), 0.0, s_max_headroom);
}

AdmissionClass Admission::classify(AdmissionRequest const& request, Service const& service, Core::MonotonicTime now)
{
    AdmissionClass admission_class {request.rank};
    if (m_settings.uses_workspace_shares)
        admission_class.standing = m_shares.standing(service.summary.demand, service.summary.level, request.workspace);
    if (m_settings.has_return_line && m_return_line.claim(request.fingerprint, now))
        admission_class.arrival = Arrival::Returning;
    return admission_class;
}

Admission::Lateness Admission::lateness_of(
    AdmissionRequest const& request, Class const& request_class, History& history, Core::MonotonicTime now)
{
    auto const& correction = request_class.correction;
    auto const remaining = request.target - request.elapsed;
    Lateness lateness;
    lateness.probable_wait = correction.percentile_80(request.predicted_wait);
    if (lateness.probable_wait <= remaining)
        history.late_since.reset();
    else if (!history.late_since)
        history.late_since = now;
    if (history.late_since)
        lateness.shortage = now - *history.late_since;
    lateness.is_median_late = correction.median(request.predicted_wait) > remaining;
    lateness.is_late = lateness.is_median_late
        || (history.late_since && lateness.shortage >= request.target * s_shortage_delay_fraction);
    return lateness;
}

double Admission::wait_fraction(
    AdmissionRequest const& request, Service const& service, AdmissionClass admission_class) const
{
    double fraction = 1;
    if (admission_class.arrival == Arrival::New && m_return_line.size() > 0)
        fraction *= s_new_wait_fraction;
    if (admission_class.standing == ShareStanding::Within || service.headroom == 0)
        return fraction;
    auto const& [demand, level] = service.summary;
    auto const rate = m_shares.relative_rate(demand, level, request.workspace);
    auto const degree = std::clamp((rate.requested - 1) / (s_flood_excess - 1), 0.0, 1.0);
    auto const overuse = std::max(0.0, rate.admitted - 1) * service.headroom / s_max_headroom;
    return fraction * (1 - service.headroom * degree) / (1 + overuse * degree);
}

bool Admission::must_leave_room(AdmissionRequest const& request, Service const& service, AdmissionClass admission_class,
    Class const& request_class) const
{
    auto const fraction = wait_fraction(request, service, admission_class);
    if (fraction == 1)
        return false;
    auto const idle_wait = request_class.correction.percentile_80(request.idle_wait);
    auto const wait_for_others = request_class.correction.percentile_80(request.predicted_wait) - idle_wait;
    auto const longest_wait = std::max(FractionalMilliseconds(0), request.target - request.elapsed - idle_wait);
    return wait_for_others > longest_wait * fraction;
}

std::optional<Rejection> Admission::check(AdmissionRequest const& request, double draw, Core::MonotonicTime now)
{
    using Verdict = FleetDemand::Verdict;
    using ClassState = FleetDemand::ClassState;
    auto& service = m_services[request.service];
    update_summary(service, request.service, now);
    auto& request_class = class_of(WaitSamples::key_of(request.service, request.request_class));
    auto const admission_class = classify(request, service, now);
    auto& history = service.histories[admission_class];
    bool const is_class_closed = is_closed(service, admission_class, draw, now);
    auto const state = is_class_closed ? ClassState::Closed : ClassState::Open;

    auto const probable_wait = request_class.correction.percentile_80(request.predicted_wait);
    bool const seems_late = probable_wait > request.target - request.elapsed;
    if (seems_late && is_trial(request_class) && !is_class_closed) {
        ++request_class.trials;
        history.last_admitted = now;
        history.last_admitted_while_open = now;
        note_decision(request, admission_class, Verdict::InTime, state, now);
        return std::nullopt;
    }
    auto const lateness = lateness_of(request, request_class, history, now);
    if (lateness.is_late)
        history.last_late = now;
    bool const is_rejected_by_class
        = is_class_closed && (lateness.is_late || ++history.closed_count % s_floor_interval != 0);
    bool const is_rejected = is_rejected_by_class
        || ((lateness.is_late || must_leave_room(request, service, admission_class, request_class))
            && !is_lower_rank_admitted(service, admission_class, now));
    if (!is_rejected) {
        history.last_admitted = now;
        if (!is_class_closed)
            history.last_admitted_while_open = now;
        note_decision(request, admission_class, lateness.is_late ? Verdict::Late : Verdict::InTime, state, now);
        return std::nullopt;
    }
    auto const rejection = reject(request, service, admission_class, lateness, draw, now);
    note_decision(request, admission_class, lateness.is_late ? Verdict::Rejected : Verdict::RejectedInTime, state, now);
    return rejection;
}

void Admission::note_decision(AdmissionRequest const& request, AdmissionClass admission_class,
    FleetDemand::Verdict verdict, FleetDemand::ClassState state, Core::MonotonicTime now)
{
    if (m_settings.is_fleet_wide || m_settings.uses_workspace_shares)
        m_demand.note(
            {request.service, request.workspace, counted_class(admission_class), request.work}, verdict, state, now);
    bool const is_admitted = verdict == FleetDemand::Verdict::InTime || verdict == FleetDemand::Verdict::Late;
    if (m_settings.has_return_line && is_admitted)
        m_return_line.note_admitted(request.service, admission_class, now);
}

bool Admission::is_trial(Class const& request_class)
{
    return !request_class.correction.has_enough_samples() && request_class.trials < s_max_trials;
}

Rejection Admission::reject(AdmissionRequest const& request, Service const& service, AdmissionClass admission_class,
    Lateness const& lateness, double draw, Core::MonotonicTime now)
{
    bool const is_beyond_share = admission_class.standing == ShareStanding::Beyond;
    Rejection rejection;
    rejection.reason = is_beyond_share ? RejectionReason::Share
        : lateness.is_median_late      ? RejectionReason::Late
        : lateness.is_late             ? RejectionReason::Shortage
                                       : RejectionReason::HigherRank;
    rejection.probable_wait = lateness.probable_wait;
    rejection.admission_class = admission_class;
    FractionalMilliseconds const excess = lateness.probable_wait - (request.target - request.elapsed);
    // A shortage is expected to last about as long again as it has lasted.
    auto mean = std::max(excess, lateness.shortage);
    if (is_beyond_share)
        mean = std::max<FractionalMilliseconds>(
            mean, m_shares.time_until_within(service.summary.demand, service.summary.level, request.workspace));
    rejection.retry_after = retry_after(request, mean, draw);
    if (!m_settings.has_return_line || request.fingerprint == 0)
        return rejection;
    auto const max_delay
        = to_whole_milliseconds(std::max(s_min_retry_after, request.remaining_time * s_max_retry_after_fraction));
    auto const delay
        = m_return_line.next_delay(request.service, admission_class, rejection.retry_after, max_delay, now);
    if (!delay)
        return rejection;
    rejection.retry_after = *delay;
    rejection.has_place = true;
    m_return_line.add(request.fingerprint, now + *delay);
    return rejection;
}

Core::Milliseconds Admission::retry_after(AdmissionRequest const& request, FractionalMilliseconds mean, double draw)
{
    auto const max_delay = std::max(s_min_retry_after, request.remaining_time * s_max_retry_after_fraction);
    auto const min_mean = s_min_retry_after / (1 - s_retry_after_jitter);
    auto const max_mean = std::max(min_mean, max_delay / (1 + s_retry_after_jitter));
    auto const limited_mean = std::clamp(mean, min_mean, max_mean);
    return to_whole_milliseconds(limited_mean * (1 + s_retry_after_jitter * (2 * draw - 1)));
}

}
