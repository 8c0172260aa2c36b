// What the whole path adds to a streamed completion over the engine called directly: both in one run, in turn,
// while other callers keep the fleet at half load.
#include "Fleet.h"

#include <LibCore/Text.h>
#include <LibHTTP/HeaderList.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <thread>
#include <vector>

#include <curl/curl.h>

namespace {

using namespace GraniteField;
using Testing::Fleet;
using Testing::Json;

constexpr int s_rounds = 600;
constexpr unsigned s_slots = 8;
constexpr unsigned s_other_callers = 16;
constexpr unsigned s_step_microseconds = 2000;

std::size_t ignore(char*, std::size_t size, std::size_t count, void*)
{
    return size * count;
}

/// Calls again and again over one kept connection, as clients do.
class TimedCaller {
public:
    TimedCaller(std::uint16_t port, std::vector<std::string> const& headers)
        : m_handle(curl_easy_init())
        , m_url(Core::concat("http://127.0.0.1:", port, "/v1/chat/completions"))
    {
        for (auto const& header : headers)
            m_headers.append(header);
        m_headers.append("Expect:");
        curl_easy_setopt(m_handle, CURLOPT_URL, m_url.c_str());
        curl_easy_setopt(m_handle, CURLOPT_HTTPHEADER, m_headers.list());
        curl_easy_setopt(m_handle, CURLOPT_WRITEFUNCTION, ignore);
        curl_easy_setopt(m_handle, CURLOPT_POSTFIELDS, s_body);
    }
    ~TimedCaller() { curl_easy_cleanup(m_handle); }
    TimedCaller(TimedCaller const&) = delete;
    TimedCaller& operator=(TimedCaller const&) = delete;

    void call()
    {
        curl_easy_perform(m_handle);
        curl_off_t first = 0;
        curl_off_t total = 0;
        curl_easy_getinfo(m_handle, CURLINFO_STARTTRANSFER_TIME_T, &first);
        curl_easy_getinfo(m_handle, CURLINFO_TOTAL_TIME_T, &total);
        m_first.push_back(static_cast<double>(first) / 1000);
        m_total.push_back(static_cast<double>(total) / 1000);
    }

    [[nodiscard]] std::vector<double> first() const { return sorted(m_first); }
    [[nodiscard]] std::vector<double> total() const { return sorted(m_total); }

private:
    static constexpr char const* s_body
        = R"({"model": "test-model", "stream": true, "messages": [{"role": "user", "content": "tag=a tokens=8"}]})";

    static std::vector<double> sorted(std::vector<double> values)
    {
        std::ranges::sort(values);
        return values;
    }

    CURL* m_handle;
    std::string m_url;
    HTTP::HeaderList m_headers;
    std::vector<double> m_first;
    std::vector<double> m_total;
};

void print(char const* what, std::vector<double> const& direct, std::vector<double> const& through)
{
    auto const at = [](std::vector<double> const& values, double share) {
        return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
    };
    for (double const share : {0.5, 0.99}) {
        std::printf("%-12s p%-4.0f direct %7.3f ms, through %7.3f ms, added %7.3f ms\n", what, share * 100,
            at(direct, share), at(through, share), at(through, share) - at(direct, share));
    }
}

}

int main()
{
    Fleet fleet;
    fleet.add_class("clerk", {{"tier", "1"}});
    for (auto const* name : {"llm-1", "llm-2", "llm-3", "llm-4"})
        fleet.add_model_backend(name, {s_slots, s_step_microseconds});
    fleet.start(1);

    // Other callers, one after the other without a pause, keep about half of the slots busy.
    std::atomic<bool> should_stop {false};
    std::vector<std::thread> others;
    for (unsigned caller = 0; caller < s_other_callers; ++caller) {
        others.emplace_back([&] {
            while (!should_stop)
                static_cast<void>(fleet.complete("clerk", "other", 40));
        });
    }
    std::vector<std::string> const headers {
        Core::concat("Authorization: Bearer ", Fleet::s_key), "Granitefield-Class: clerk"};
    TimedCaller direct(fleet.backend("llm-1").engine_port, headers);
    TimedCaller through(fleet.entry().caller_port, headers);
    for (int round = 0; round < s_rounds; ++round) {
        direct.call();
        through.call();
    }
    should_stop = true;
    for (auto& other : others)
        other.join();
    print("first byte", direct.first(), through.first());
    print("whole answer", direct.total(), through.total());
    return 0;
}
