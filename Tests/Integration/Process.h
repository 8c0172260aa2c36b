#pragma once

#include <LibCore/Time.h>

#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>
#include <sys/types.h>

namespace GraniteField::Testing {

/// A program that a test has started. It ends with its owner.
///
/// Where the environment variable GRANITEFIELD_TEST_LOGS names a directory, what the program printed after its
/// announcement is kept there in a file of its own, so that a failure that shows once can be traced.
class Process {
public:
    /// Where the program's standard error goes.
    enum class Errors {
        Inherited,
        /// Kept for has_reported().
        Kept,
    };

    /// Starts the program, with its log going to a file in the test's directory.
    Process(std::string const& program, std::vector<std::string> arguments, Errors = Errors::Inherited);
    ~Process();
    Process(Process&&) noexcept;
    Process& operator=(Process&&) noexcept;
    Process(Process const&) = delete;
    Process& operator=(Process const&) = delete;

    /// Waits for the program's first line, which says where it listens. Throws when it ends without one.
    [[nodiscard]] nlohmann::json wait_for_announcement();

    /// Whether the program has printed the text since its announcement; takes what it has printed by now.
    [[nodiscard]] bool has_printed(std::string_view text);
    /// Whether the program has written the text to its standard error, which must be kept.
    [[nodiscard]] bool has_reported(std::string_view text);

    void terminate() const;
    /// Has the program read its settings again (SIGHUP).
    void hang_up() const;
    void kill();
    /// Stops the program as it stands (SIGSTOP), and lets it go on.
    void freeze() const;
    void thaw() const;
    /// Waits for the end and gives the exit code, or minus the signal. Throws after the limit.
    int wait(Core::Milliseconds limit = Core::Milliseconds(60'000));
    [[nodiscard]] bool is_running();
    [[nodiscard]] pid_t id() const { return m_id; }

private:
    /// Does nothing once the program has ended.
    void send_signal(int number) const;
    void take_output(Core::Milliseconds patience);
    void keep_output();

    pid_t m_id {-1};
    /// The same, also after the program's end.
    pid_t m_log_id {-1};
    int m_output {-1};
    std::string m_printed;
    int m_errors {-1};
    std::string m_reported;
    int m_exit_code {0};
};

/// Runs a program to its end and gives its exit code and standard output.
struct Finished {
    int exit_code {0};
    std::string output;
};

[[nodiscard]] Finished run_program(
    std::string const& program, std::vector<std::string> arguments, std::string const& input = "");

/// Where the build has put a program.
[[nodiscard]] std::string program_path(std::string const& name);

}
