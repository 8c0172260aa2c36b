#pragma once

#include <LibObserve/Metrics.h>

#include <string>

namespace GraniteField::Entry {

/// Metrics of one request class, looked up once since some are updated for every token.
struct ClassMetrics {
    ClassMetrics(Observe::MetricRegistry& metrics, std::string const& request_class)
        : calls(metrics.counter("granitefield_entry_calls_total", {{"class", request_class}}))
        , callers_gone(metrics.counter("granitefield_entry_callers_gone_total", {{"class", request_class}}))
        , targets_met(metrics.counter("granitefield_entry_targets_total", {{"class", request_class}, {"met", "yes"}}))
        , targets_missed(metrics.counter("granitefield_entry_targets_total", {{"class", request_class}, {"met", "no"}}))
        , first_token(metrics.distribution("granitefield_entry_first_token_seconds", {{"class", request_class}}))
        , token_gap(metrics.distribution("granitefield_entry_token_gap_seconds", {{"class", request_class}}))
    {
    }

    Observe::Counter& calls;
    Observe::Counter& callers_gone;
    Observe::Counter& targets_met;
    Observe::Counter& targets_missed;
    Observe::Distribution& first_token;
    Observe::Distribution& token_gap;
};

}
