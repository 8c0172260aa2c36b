// Measures the latency that the whole path adds to a streamed completion: calls through the fleet alternate with
// direct calls to the engine, while other callers keep the fleet at half load.
#include "Fleet.h"

#include <LibCore/Text.h>
#include <LibHTTP/HeaderList.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <optional>
#include <thread>
#include <vector>

#include <curl/curl.h>

namespace {

using namespace GraniteField;
using Testing::Fleet;
using Testing::Json;

constexpr int s_rounds = 600;
/// Callers that load the fleet. The shared engine runs eight requests at once, each side process four.
constexpr unsigned s_other_callers = 3;

/// Records the time of the first byte of the body. The status line is sent before any token.
std::size_t note_first_byte(char*, std::size_t size, std::size_t count, void* user)
{
    auto& first = *static_cast<std::optional<Core::MonotonicTime>*>(user);
    if (!first)
        first = Core::monotonic_now();
    return size * count;
}

/// Sends calls over one persistent connection, as clients do.
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
        curl_easy_setopt(m_handle, CURLOPT_WRITEFUNCTION, note_first_byte);
        curl_easy_setopt(m_handle, CURLOPT_WRITEDATA, &m_first_byte);
        curl_easy_setopt(m_handle, CURLOPT_POSTFIELDS, s_body);
    }
    ~TimedCaller() { curl_easy_cleanup(m_handle); }
    TimedCaller(TimedCaller const&) = delete;
    TimedCaller& operator=(TimedCaller const&) = delete;

    void call()
    {
        m_first_byte.reset();
        auto const start = Core::monotonic_now();
        curl_easy_perform(m_handle);
        auto const to_milliseconds = [start](Core::MonotonicTime time) {
            return std::chrono::duration<double, std::milli>(time - start).count();
        };
        m_first.push_back(to_milliseconds(m_first_byte.value_or(start)));
        m_total.push_back(to_milliseconds(Core::monotonic_now()));
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
    std::optional<Core::MonotonicTime> m_first_byte;
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

int main(int argument_count, char** arguments)
{
    // No proxies between the processes, so that only this software is measured.
    auto const other_callers = argument_count > 1 ? static_cast<unsigned>(std::atoi(arguments[1])) : s_other_callers;
    Fleet fleet;
    fleet.add_class("clerk", {{"tier", "1"}});
    for (auto const* name : {"llm-1", "llm-2"})
        fleet.add_shared_model_backend(name);
    fleet.start(1);

    // Other callers send requests without a pause and keep about half of the slots busy.
    std::atomic<bool> should_stop {false};
    std::vector<std::thread> others;
    for (unsigned caller = 0; caller < other_callers; ++caller) {
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
