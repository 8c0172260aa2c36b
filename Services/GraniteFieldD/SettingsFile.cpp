#include "SettingsFile.h"

#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

#include <glog/logging.h>
#include <nlohmann/json.hpp>

namespace GraniteField::Daemon {

namespace {

constexpr Core::Milliseconds s_read_interval {100};

std::optional<std::string> read_text(std::string const& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return std::nullopt;
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

}

SettingsFile::SettingsFile(std::string path)
    : m_path(std::move(path))
{
}

Settings::DaemonSettings SettingsFile::read()
{
    m_text = read_text(m_path);
    return parse();
}

Settings::DaemonSettings SettingsFile::parse() const
{
    if (!m_text)
        throw std::runtime_error("can't read " + m_path);
    return Settings::parse_settings(*m_text);
}

std::optional<Settings::DaemonSettings> SettingsFile::wait_and_read(SignalWait const& wait)
{
    static_cast<void>(take_change());
    if (!is_whole())
        LOG(WARNING) << "daemon: waiting for the settings: " << m_path << (m_text ? " is not JSON" : " can't be read");
    auto const deadline = Core::monotonic_now() + s_start_limit;
    while (!is_whole() && Core::monotonic_now() < deadline) {
        if (wait(s_read_interval) == Signal::Stop)
            return std::nullopt;
        static_cast<void>(take_change());
    }
    return parse();
}

bool SettingsFile::take_change()
{
    auto text = read_text(m_path);
    bool const has_changed = text != m_text;
    m_text = std::move(text);
    return has_changed;
}

bool SettingsFile::is_whole() const
{
    return m_text && nlohmann::json::accept(*m_text);
}

}
