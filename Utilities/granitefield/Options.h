#pragma once

#include <LibCore/Address.h>

#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace GraniteField::CommandLine {

/// What was given on the command line, the same for all commands.
struct Options {
    /// The command and its arguments.
    std::vector<std::string> words;
    std::optional<Core::Address> platform;
    /// Operator ports of daemons.
    std::vector<Core::Address> daemons;
    std::string author;
    std::string file;
    bool should_print_json {false};
};

/// The words make no command, or lack something that it needs.
class UsageError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// Exit codes, for scripts.
inline constexpr int s_exit_done = 0;
inline constexpr int s_exit_failed = 1;
/// The call or the change is wrong; nothing was changed.
inline constexpr int s_exit_rejected = 2;
/// Somebody else changed the same cell.
inline constexpr int s_exit_conflict = 3;
/// No answer came to a write; it may be in force.
inline constexpr int s_exit_unknown = 4;

}
