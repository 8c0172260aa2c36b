#pragma once

#include "Signals.h"

#include <LibSettings/DaemonSettings.h>

#include <optional>
#include <string>

namespace GraniteField::Daemon {

/// The file that a daemon's settings are read from. For one thread.
class SettingsFile {
public:
    /// Time within which a file that is missing or half-written at the start must be whole.
    static constexpr Core::Milliseconds s_start_limit {10'000};

    explicit SettingsFile(std::string path);

    /// Throws Core::InvalidInput with all that is wrong, or std::runtime_error where the file can't be read.
    [[nodiscard]] Settings::DaemonSettings read();
    /// The same after a wait, if necessary, until the file is whole JSON or s_start_limit is over. Nothing if the
    /// daemon is told to stop meanwhile.
    [[nodiscard]] std::optional<Settings::DaemonSettings> wait_and_read(SignalWait const&);
    /// Whether the content differs from when it was last looked at. The time of change does not tell: a file may be
    /// written twice within the resolution of the file system's clock.
    [[nodiscard]] bool take_change();

private:
    [[nodiscard]] bool is_whole() const;
    /// The settings in the text that was read last.
    [[nodiscard]] Settings::DaemonSettings parse() const;

    std::string m_path;
    /// Nothing where the file could not be read.
    std::optional<std::string> m_text;
};

}
