#pragma once

#include <LibCore/Text.h>
#include <LibCore/Time.h>
#include <LibGateway/StreamArchive.h>
#include <LibObserve/EventLog.h>
#include <LibPlatform/Objects.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <iterator>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace GraniteField::Gateway {

/// Keeps in the platform's store at which software versions streams have begun, while several versions serve, so that
/// they can be resumed after all gateways have been killed at once. Each gateway writes the streams that began at it in
/// batches, into one object of its own. The few gateways that watch the store read all objects when they start and
/// announce the streams to those that are asked for them. Used by the thread that calls step().
template <typename Store>
class StreamArchiveKeeper {
public:
    static constexpr std::string_view s_kind = "granitefield-streams";
    /// Shortest time between two writes of a gateway, and time between two steps while streams begin. Streams that
    /// begin within it are lost if all gateways are killed, and many last for two seconds only.
    static constexpr Core::Milliseconds s_write_interval {250};
    /// Time between two steps while no streams are kept.
    static constexpr Core::Milliseconds s_idle_interval {1'000};
    /// Time between two steps right after the start, until this gateway has read the objects or others have had time
    /// to.
    static constexpr Core::Milliseconds s_loading_interval {200};
    static constexpr Core::Milliseconds s_loading_time {5'000};
    /// Share of the writes that the store bears that all gateways together make for streams at most.
    static constexpr double s_share_of_writes = 0.1;
    /// Callers resume a stream within its time limit. Exceeds the time limits of routes with streams.
    static constexpr Core::Milliseconds s_retention {60'000};
    /// Streams in an object, of 17 bytes each; far below the largest value of the store.
    static constexpr std::size_t s_max_streams = 16'384;
    /// Size of a spec beyond which no gateway has written it.
    static constexpr std::size_t s_max_object_bytes = 512U << 10U;
    static constexpr Core::Milliseconds s_min_backoff {250};
    static constexpr Core::Milliseconds s_max_backoff {4'000};

    struct Settings {
        /// Of the gateway, and so of its object. Its next life has the same.
        std::string name;
        /// Writes that the store bears in a second.
        double writes_per_second {100};
        /// Gateways that write.
        std::function<std::size_t()> gateway_count {[] { return std::size_t {1}; }};
        std::function<Core::MonotonicTime()> now {Core::monotonic_now};
    };

    StreamArchiveKeeper(Settings settings, StreamArchive& archive, Store& store, Observe::EventLog& log)
        : m_settings(std::move(settings))
        , m_archive(archive)
        , m_store(store)
        , m_log(log)
        , m_started(m_settings.now())
    {
    }

    /// Sets whether this gateway is one of the few that watch the store.
    void set_watching(bool value) { m_is_watching = value; }

    /// Performs the pending calls and returns the time until the next step.
    Core::Milliseconds step()
    {
        auto const now = m_settings.now();
        note_begun(now);
        try {
            load(now);
            remove_unused(now);
            write(now);
            m_backoff = s_min_backoff;
            bool const is_loading = !m_has_loaded && Core::elapsed(m_started, now) < s_loading_time;
            if (is_loading)
                return s_loading_interval;
            return m_streams.empty() ? s_idle_interval : s_write_interval;
        } catch (Platform::PlatformUnavailable const& error) {
            // The object may have been written or removed.
            m_object_version.reset();
            m_log.write(Observe::LogEvent("stream-archive-lost").add("reason", error.what()));
            return std::exchange(m_backoff, std::min(m_backoff * 2, s_max_backoff));
        }
    }

    /// Does nothing, since the keeper holds no lease.
    void release() { }

private:
    using Json = Platform::Json;

    struct Stream {
        ArchivedStream stream;
        Core::MonotonicTime noted;
    };

    [[nodiscard]] Core::Milliseconds write_interval() const
    {
        auto const rate = m_settings.writes_per_second * s_share_of_writes;
        auto const seconds = static_cast<double>(m_settings.gateway_count()) / rate;
        return std::max(s_write_interval, Core::Milliseconds(std::llround(seconds * 1'000)));
    }

    void note_begun(Core::MonotonicTime now)
    {
        for (auto& stream : m_archive.take_begun()) {
            m_streams.push_back({std::move(stream), now});
            m_must_write = true;
        }
        while (!m_streams.empty()
            && (m_streams.size() > s_max_streams || Core::elapsed(m_streams.front().noted, now) > s_retention))
            m_streams.pop_front();
    }

    /// Reads what earlier lives of all gateways have written.
    void load(Core::MonotonicTime now)
    {
        if (m_has_loaded || !m_is_watching)
            return;
        std::vector<ArchivedStream> loaded;
        for (auto const& object : m_store.list(s_kind).objects) {
            auto streams = decode(object.spec);
            m_versions_at_load[object.name] = object.version;
            if (object.name == m_settings.name)
                keep_earlier(object.version, streams, now);
            std::ranges::move(streams, std::back_inserter(loaded));
        }
        m_has_loaded = true;
        m_loaded_at = now;
        if (loaded.empty())
            return;
        m_log.write(Observe::LogEvent("stream-archive-loaded").add("streams", loaded.size()));
        m_archive.add_loaded(std::move(loaded));
    }

    /// Keeps what an earlier life of this gateway has written, beside what this one adds.
    void keep_earlier(
        Platform::ObjectVersion version, std::vector<ArchivedStream> const& streams, Core::MonotonicTime now)
    {
        m_object_version = version;
        if (std::exchange(m_has_earlier, true))
            return;
        for (auto const& stream : streams)
            m_streams.push_back({stream, now});
    }

    /// Removes objects that nobody has written since this gateway started: their streams are too old to be resumed.
    void remove_unused(Core::MonotonicTime now)
    {
        bool const is_due = m_is_watching && m_loaded_at && Core::elapsed(*m_loaded_at, now) > 2 * s_retention;
        if (!is_due || m_versions_at_load.empty())
            return;
        for (auto const& object : m_store.list(s_kind).objects) {
            auto const known = m_versions_at_load.find(object.name);
            bool const is_unused = known != m_versions_at_load.end() && known->second == object.version;
            if (is_unused && object.name != m_settings.name)
                m_store.remove(s_kind, object.name);
        }
        m_versions_at_load.clear();
    }

    void write(Core::MonotonicTime now)
    {
        bool const is_due = !m_written_at || Core::elapsed(*m_written_at, now) >= write_interval();
        if (!m_must_write || !is_due)
            return;
        auto const spec = encode();
        try {
            m_object_version = m_object_version ? m_store.update(s_kind, m_settings.name, *m_object_version, spec)
                                                : m_store.create(s_kind, m_settings.name, spec);
            m_has_earlier = true;
            m_must_write = false;
            m_written_at = now;
        } catch (Platform::VersionConflict const&) {
            // An earlier life's object, or a write of this life whose answer was lost.
            m_object_version.reset();
            if (auto const object = m_store.read(s_kind, m_settings.name))
                keep_earlier(object->version, decode(object->spec), now);
        }
    }

    [[nodiscard]] Json encode() const
    {
        std::map<StreamOrigin, std::string> keys;
        for (auto const& item : m_streams) {
            auto& text = keys[item.stream.origin];
            Core::append(&text, text.empty() ? "" : ",", Core::to_hex(item.stream.stream.value()));
        }
        Json batches = Json::array();
        for (auto const& [origin, text] : keys)
            batches.push_back({{"service", origin.service}, {"version", origin.software_version}, {"streams", text}});
        return {{"batches", batches}};
    }

    [[nodiscard]] std::vector<ArchivedStream> decode(Json const& spec)
    {
        std::vector<ArchivedStream> streams;
        try {
            for (auto const& batch : spec.at("batches")) {
                StreamOrigin const origin {
                    batch.at("service").template get<std::string>(), batch.at("version").template get<std::string>()};
                append_streams(batch.at("streams").template get_ref<std::string const&>(), origin, streams);
            }
        } catch (Json::exception const& error) {
            m_log.write(Observe::LogEvent("stream-archive-unreadable").add("reason", error.what()));
        }
        return streams;
    }

    static void append_streams(std::string_view text, StreamOrigin const& origin, std::vector<ArchivedStream>& streams)
    {
        constexpr int hexadecimal = 16;
        while (!text.empty()) {
            auto const part = text.substr(0, text.find(','));
            std::uint64_t key = 0;
            auto const result = std::from_chars(part.data(), part.data() + part.size(), key, hexadecimal);
            if (result.ec == std::errc {} && result.ptr == part.data() + part.size())
                streams.push_back({StreamKey(key), origin});
            text.remove_prefix(std::min(text.size(), part.size() + 1));
        }
    }

    Settings m_settings;
    StreamArchive& m_archive;
    Store& m_store;
    Observe::EventLog& m_log;
    bool m_is_watching {false};
    bool m_has_loaded {false};
    /// Whether what an earlier life has written is among the streams, or there is nothing.
    bool m_has_earlier {false};
    bool m_must_write {false};
    Core::MonotonicTime m_started;
    std::optional<Core::MonotonicTime> m_written_at;
    std::deque<Stream> m_streams;
    std::optional<Platform::ObjectVersion> m_object_version;
    std::optional<Core::MonotonicTime> m_loaded_at;
    std::map<std::string, Platform::ObjectVersion> m_versions_at_load;
    Core::Milliseconds m_backoff {s_min_backoff};
};

}
