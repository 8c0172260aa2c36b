#pragma once

#include "Results.h"
#include "Schedule.h"

#include <LibCore/Address.h>
#include <LibHTTP/EventStream.h>
#include <LibHTTP/HeaderList.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <curl/curl.h>

namespace GraniteField::Load {

/// Sends the requests of a schedule at their times, without waiting for the answers to earlier ones, over one
/// libcurl multi handle. Latency counts from the time at which a request was meant to be sent.
class LoadRunner {
public:
    struct Settings {
        std::vector<Core::Address> entries;
        /// Requests under way at once; what comes beyond counts as failed, so that the load is bounded.
        std::size_t largest_open_count {10'000};
        /// A request that takes longer is broken off and counts as failed.
        Core::Milliseconds limit {60'000};
    };

    LoadRunner(Settings, Scenario const&);
    ~LoadRunner();
    LoadRunner(LoadRunner const&) = delete;
    LoadRunner& operator=(LoadRunner const&) = delete;

    [[nodiscard]] std::vector<CallResult> run(std::vector<Arrival> const&);

private:
    struct Call;

    static std::size_t take_body(char*, std::size_t, std::size_t, void*);
    static std::size_t take_header(char*, std::size_t, std::size_t, void*);
    void start(std::unique_ptr<Call>);
    void make_request(Call&) const;
    void collect(std::vector<CallResult>&);
    void finish(std::unique_ptr<Call>, CURLcode, std::vector<CallResult>&);
    [[nodiscard]] Core::Microseconds elapsed() const;

    Settings m_settings;
    Scenario const& m_scenario;
    CURLM* m_multi;
    Core::MonotonicTime m_start;
    std::map<CURL*, std::unique_ptr<Call>> m_calls;
    /// Refused calls, by the time at which they come back.
    std::multimap<Core::Microseconds, std::unique_ptr<Call>> m_returning;
    std::size_t m_next_entry {0};
};

}
