#include "Process.h"

#include <LibCore/Text.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <stdexcept>
#include <system_error>
#include <thread>

#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace GraniteField::Testing {

namespace {

constexpr int s_announcement_limit_milliseconds = 30'000;
constexpr Core::Milliseconds s_poll_interval {5};
constexpr char const* s_logs_variable = "GRANITEFIELD_TEST_LOGS";
/// What a program prints and nobody reads before its end; the kernel gives a pipe no more without a privilege.
constexpr int s_kept_output_bytes = 1 << 20;
/// A program writes its own backlog as soon as its pipe is read.
constexpr Core::Milliseconds s_backlog_patience {20};

std::array<int, 2> make_pipe()
{
    std::array<int, 2> ends {};
    if (::pipe2(ends.data(), O_CLOEXEC) != 0)
        throw std::system_error(errno, std::generic_category(), "pipe");
    return ends;
}

pid_t spawn(std::string const& program, std::vector<std::string>& arguments, int input, int output, int errors = -1)
{
    std::vector<char*> argument_pointers {const_cast<char*>(program.c_str())};
    for (auto& argument : arguments)
        argument_pointers.push_back(argument.data());
    argument_pointers.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    if (input >= 0)
        posix_spawn_file_actions_adddup2(&actions, input, STDIN_FILENO);
    posix_spawn_file_actions_adddup2(&actions, output, STDOUT_FILENO);
    if (errors >= 0)
        posix_spawn_file_actions_adddup2(&actions, errors, STDERR_FILENO);
    pid_t id = -1;
    auto const result = posix_spawn(&id, program.c_str(), &actions, nullptr, argument_pointers.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (result != 0)
        throw std::system_error(result, std::generic_category(), program);
    return id;
}

/// Appends what can be read within the time.
void append_available(int descriptor, Core::Milliseconds patience, std::string& text)
{
    std::array<char, 4096> buffer {};
    pollfd item {descriptor, POLLIN, 0};
    while (::poll(&item, 1, static_cast<int>(patience.count())) > 0) {
        auto const got = ::read(descriptor, buffer.data(), buffer.size());
        if (got <= 0)
            break;
        text.append(buffer.data(), static_cast<std::size_t>(got));
    }
}

int exit_code_of(int status)
{
    return WIFSIGNALED(status) ? -WTERMSIG(status) : WEXITSTATUS(status);
}

}

std::string program_path(std::string const& name)
{
    return std::string(GRANITEFIELD_BINARY_DIRECTORY) + "/" + name;
}

Process::Process(std::string const& program, std::vector<std::string> arguments, Errors errors)
{
    auto const ends = make_pipe();
    if (std::getenv(s_logs_variable) != nullptr)
        ::fcntl(ends[0], F_SETPIPE_SZ, s_kept_output_bytes);
    std::array<int, 2> error_ends {-1, -1};
    if (errors == Errors::Kept)
        error_ends = make_pipe();
    m_id = spawn(program, arguments, -1, ends[1], error_ends[1]);
    m_log_id = m_id;
    ::close(ends[1]);
    m_output = ends[0];
    if (errors == Errors::Kept)
        ::close(error_ends[1]);
    m_errors = error_ends[0];
}

Process::Process(Process&& other) noexcept
    : m_id(std::exchange(other.m_id, -1))
    , m_log_id(std::exchange(other.m_log_id, -1))
    , m_output(std::exchange(other.m_output, -1))
    , m_printed(std::move(other.m_printed))
    , m_errors(std::exchange(other.m_errors, -1))
    , m_reported(std::move(other.m_reported))
    , m_exit_code(other.m_exit_code)
{
}

Process& Process::operator=(Process&& other) noexcept
{
    std::swap(m_id, other.m_id);
    std::swap(m_log_id, other.m_log_id);
    std::swap(m_output, other.m_output);
    std::swap(m_printed, other.m_printed);
    std::swap(m_errors, other.m_errors);
    std::swap(m_reported, other.m_reported);
    std::swap(m_exit_code, other.m_exit_code);
    return *this;
}

Process::~Process()
{
    keep_output();
    if (m_id > 0) {
        ::kill(m_id, SIGKILL);
        ::waitpid(m_id, nullptr, 0);
    }
    if (m_output >= 0)
        ::close(m_output);
    if (m_errors >= 0)
        ::close(m_errors);
}

nlohmann::json Process::wait_for_announcement()
{
    std::string line;
    char character = 0;
    while (true) {
        pollfd descriptor {m_output, POLLIN, 0};
        if (::poll(&descriptor, 1, s_announcement_limit_milliseconds) <= 0)
            throw std::runtime_error("the program says nothing");
        auto const got = ::read(m_output, &character, 1);
        if (got < 0 && errno == EINTR)
            continue;
        if (got <= 0)
            throw std::runtime_error("the program ended without an announcement: " + line);
        if (character == '\n')
            return nlohmann::json::parse(line).at("listening");
        line += character;
    }
}

void Process::take_output(Core::Milliseconds patience)
{
    append_available(m_output, patience, m_printed);
}

void Process::keep_output()
{
    auto const* directory = std::getenv(s_logs_variable);
    if (directory == nullptr || m_output < 0)
        return;
    take_output(is_running() ? s_backlog_patience : Core::Milliseconds(0));
    std::ofstream(Core::concat(directory, "/", m_log_id, ".log")) << m_printed;
}

bool Process::has_printed(std::string_view text)
{
    take_output(Core::Milliseconds(0));
    return m_printed.find(text) != std::string::npos;
}

bool Process::has_reported(std::string_view text)
{
    append_available(m_errors, Core::Milliseconds(0), m_reported);
    return m_reported.find(text) != std::string::npos;
}

void Process::send_signal(int number) const
{
    // kill() takes -1, the id of an ended program, for every process.
    if (m_id > 0)
        ::kill(m_id, number);
}

void Process::terminate() const
{
    send_signal(SIGTERM);
}

void Process::hang_up() const
{
    send_signal(SIGHUP);
}

void Process::kill()
{
    send_signal(SIGKILL);
    wait();
}

void Process::freeze() const
{
    send_signal(SIGSTOP);
}

void Process::thaw() const
{
    send_signal(SIGCONT);
}

bool Process::is_running()
{
    if (m_id <= 0)
        return false;
    int status = 0;
    if (::waitpid(m_id, &status, WNOHANG) == 0)
        return true;
    m_exit_code = exit_code_of(status);
    m_id = -1;
    return false;
}

int Process::wait(Core::Milliseconds limit)
{
    auto const deadline = std::chrono::steady_clock::now() + limit;
    while (is_running()) {
        if (std::chrono::steady_clock::now() > deadline)
            throw std::runtime_error("the program does not end");
        std::this_thread::sleep_for(s_poll_interval);
    }
    return m_exit_code;
}

Finished run_program(std::string const& program, std::vector<std::string> arguments, std::string const& input)
{
    auto const output_ends = make_pipe();
    auto const input_ends = make_pipe();
    auto const id = spawn(program, arguments, input_ends[0], output_ends[1]);
    ::close(output_ends[1]);
    ::close(input_ends[0]);
    // The inputs of these tests fit into the pipe.
    [[maybe_unused]] auto const written = ::write(input_ends[1], input.data(), input.size());
    ::close(input_ends[1]);
    Finished finished;
    std::array<char, 4096> buffer {};
    ssize_t got = 0;
    while ((got = ::read(output_ends[0], buffer.data(), buffer.size())) > 0)
        finished.output.append(buffer.data(), static_cast<std::size_t>(got));
    ::close(output_ends[0]);
    int status = 0;
    ::waitpid(id, &status, 0);
    finished.exit_code = exit_code_of(status);
    return finished;
}

}
