#include <LibObserve/CrashReport.h>

#include <LibCore/Text.h>
#include <LibCore/Thread.h>
#include <LibObserve/EventLog.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <charconv>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <ctime>
#include <exception>
#include <poll.h>
#include <string>
#include <sys/prctl.h>
#include <unistd.h>
#include <utility>

namespace GraniteField::Observe {

namespace {

constexpr std::array s_signals {SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT};
constexpr std::size_t s_longest_line = 2'048;
constexpr std::size_t s_longest_reason = 500;
constexpr std::size_t s_thread_name_bytes = 16;
constexpr int s_write_timeout_ms = 100;

int s_descriptor = -1;
/// Host and incarnation, as members of a line.
std::string const* s_origin = nullptr;
std::array<char, s_longest_reason> s_reason {};
std::size_t s_reason_length = 0;
std::atomic_flag s_is_reported;

/// A line that is put together in a signal handler: it allocates nothing.
class Line {
public:
    void add(std::string_view text)
    {
        auto const count = std::min(text.size(), m_bytes.size() - m_length);
        std::copy_n(text.begin(), count, m_bytes.begin() + static_cast<std::ptrdiff_t>(m_length));
        m_length += count;
    }

    void add(std::int64_t number)
    {
        std::array<char, 24> digits {};
        auto const end = std::to_chars(digits.data(), digits.data() + digits.size(), number).ptr;
        add({digits.data(), static_cast<std::size_t>(end - digits.data())});
    }

    /// The text within quotes; what JSON would have to escape becomes a space.
    void add_quoted(std::string_view text)
    {
        add("\"");
        for (char const character : text) {
            bool const is_plain = character >= ' ' && character <= '~' && character != '"' && character != '\\';
            add(is_plain ? std::string_view(&character, 1) : " ");
        }
        add("\"");
    }

    [[nodiscard]] std::string_view text() const { return {m_bytes.data(), m_length}; }

private:
    std::array<char, s_longest_line> m_bytes {};
    std::size_t m_length {0};
};

std::string_view name_of(int signal)
{
    switch (signal) {
    case SIGSEGV:
        return "SIGSEGV";
    case SIGBUS:
        return "SIGBUS";
    case SIGILL:
        return "SIGILL";
    case SIGFPE:
        return "SIGFPE";
    default:
        return "SIGABRT";
    }
}

void write_all(std::string_view text)
{
    while (!text.empty()) {
        // The reader of a pipe may have stopped reading; the process must end all the same.
        pollfd item {s_descriptor, POLLOUT, 0};
        if (::poll(&item, 1, s_write_timeout_ms) != 1)
            return;
        auto const written = ::write(s_descriptor, text.data(), text.size());
        if (written <= 0)
            return;
        text.remove_prefix(static_cast<std::size_t>(written));
    }
}

void report(int signal)
{
    timespec now {};
    clock_gettime(CLOCK_REALTIME, &now);
    std::array<char, s_thread_name_bytes> thread {};
    prctl(PR_GET_NAME, thread.data());
    constexpr std::int64_t milliseconds_per_second = 1'000;
    constexpr std::int64_t nanoseconds_per_millisecond = 1'000'000;
    Line line;
    // The line before may have been written in part.
    line.add("\n{\"time\":");
    line.add(now.tv_sec * milliseconds_per_second + now.tv_nsec / nanoseconds_per_millisecond);
    line.add(*s_origin);
    line.add(R"("event":"crash","signal":)");
    line.add_quoted(name_of(signal));
    line.add(R"(,"thread":)");
    line.add_quoted(thread.data());
    line.add(R"(,"reason":)");
    line.add_quoted({s_reason.data(), s_reason_length});
    line.add("}\n");
    write_all(line.text());
}

void handle_signal(int signal)
{
    if (!s_is_reported.test_and_set())
        report(signal);
    // SA_RESETHAND has restored the default action.
    raise(signal);
}

/// The message of the exception that is being handled.
std::string describe_exception()
{
    try {
        if (auto const exception = std::current_exception())
            std::rethrow_exception(exception);
        return "std::terminate was called";
    } catch (std::exception const& error) {
        return error.what();
    } catch (...) {
        return "an exception of an unknown type";
    }
}

[[noreturn]] void handle_terminate()
{
    auto const reason = describe_exception();
    s_reason_length = reason.copy(s_reason.data(), s_reason.size());
    std::abort();
}

}

void install_crash_report(int descriptor, std::string_view host, Core::Incarnation incarnation)
{
    // Neither is destroyed when the process ends: a fault may come then as well.
    [[maybe_unused]] static auto const* const s_stack = new Core::SignalStack;
    delete std::exchange(s_origin, new std::string(EventLog::origin_of(host, incarnation)));
    s_descriptor = descriptor;
    std::set_terminate(handle_terminate);
    struct sigaction action { };
    action.sa_handler = handle_signal;
    action.sa_flags = SA_ONSTACK | static_cast<int>(SA_RESETHAND);
    for (auto const signal : s_signals)
        sigaction(signal, &action, nullptr);
}

}
