#pragma once

// Model engines by simulated time: batches, prompts read piecewise between others' tokens, slots, memory with kept
// parts, priorities. What decides on the users' machines, and no more.
#include <LibGateway/RoutedRequest.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <vector>

namespace GraniteField::Gateway::Testing {

using SimulatedTime = std::chrono::duration<double, std::milli>;

class EngineSimulation;

/// One stream at an engine.
struct SimulatedStream {
    /// From where it fetches what is kept there of the prompt; null for nowhere.
    EngineSimulation const* source {nullptr};
    unsigned priority {0};
    std::vector<PromptPart> prompt;
    std::uint32_t output_tokens {0};
    /// The caller leaves then.
    SimulatedTime deadline {0};
    std::function<void(SimulatedTime)> on_event;
    /// Called once: the stream is whole, or its caller has left.
    std::function<void(SimulatedTime, bool is_whole)> on_end;

    std::uint32_t unread {0};
    std::uint32_t generated {0};
};

class EngineSimulation {
public:
    // As the sheet of a deployment gives them.
    static constexpr std::size_t s_slots = 64;
    static constexpr std::uint64_t s_memory_tokens = 486'000;
    static constexpr SimulatedTime s_step {4.34};
    static constexpr SimulatedTime s_step_of_a_stream {0.151};
    static constexpr double s_tokens_read_in_a_ms = 36.7;
    static constexpr std::uint32_t s_chunk = 2'048;
    static constexpr std::uint32_t s_tokens_of_an_event = 4;

    explicit EngineSimulation(double tokens_read_in_a_ms = s_tokens_read_in_a_ms)
        : m_tokens_read_in_a_ms(tokens_read_in_a_ms)
    {
    }

    void submit(SimulatedStream stream)
    {
        m_waiting.push_back(std::move(stream));
        m_waiting.sort([](auto const& first, auto const& second) { return first.priority < second.priority; });
    }

    /// Works until then.
    void run_until(SimulatedTime time)
    {
        while (m_now < time) {
            drop_left();
            admit();
            if (m_running.empty()) {
                m_now = time;
                return;
            }
            step();
        }
    }

    [[nodiscard]] std::uint64_t tokens_read() const { return m_tokens_read; }
    [[nodiscard]] bool keeps(PromptPart const& part) const
    {
        return std::ranges::find(m_kept, part.prefix_hash, &PromptPart::prefix_hash) != m_kept.end();
    }
    [[nodiscard]] std::size_t open() const { return m_running.size() + m_waiting.size(); }

private:
    void drop_left()
    {
        auto const leave = [this](auto& streams) {
            for (auto item = streams.begin(); item != streams.end();) {
                if (m_now < item->deadline) {
                    ++item;
                    continue;
                }
                auto const on_end = std::move(item->on_end);
                item = streams.erase(item);
                on_end(m_now, false);
            }
        };
        leave(m_running);
        leave(m_waiting);
    }

    [[nodiscard]] std::uint64_t held_tokens() const
    {
        std::uint64_t held = 0;
        for (auto const& stream : m_running)
            held += stream.prompt.back().tokens + stream.output_tokens;
        return held;
    }

    void admit()
    {
        while (!m_waiting.empty() && m_running.size() < s_slots && held_tokens() < s_memory_tokens) {
            auto& stream = m_waiting.front();
            stream.unread = stream.prompt.back().tokens;
            for (std::size_t index = 0; index + 1 < stream.prompt.size(); ++index)
                stream.unread += keep(stream.prompt[index], stream.source);
            m_running.splice(m_running.end(), m_waiting, m_waiting.begin());
        }
    }

    /// Uses a shared part; says how much of it has to be read.
    std::uint32_t keep(PromptPart const& part, EngineSimulation const* source)
    {
        auto const found = std::ranges::find(m_kept, part.prefix_hash, &PromptPart::prefix_hash);
        bool const is_fetched = source != nullptr && source->keeps(part);
        std::uint32_t unread = 0;
        if (found != m_kept.end()) {
            m_kept.splice(m_kept.begin(), m_kept, found);
        } else {
            m_kept.push_front(part);
            m_kept_tokens += part.tokens;
            unread = is_fetched ? 0 : part.tokens;
        }
        while (m_kept.size() > 1 && m_kept_tokens + held_tokens() > s_memory_tokens) {
            m_kept_tokens -= m_kept.back().tokens;
            m_kept.pop_back();
        }
        return unread;
    }

    void step()
    {
        auto left = s_chunk;
        for (unsigned priority = 0; priority < 10; ++priority) {
            for (auto& stream : m_running) {
                if (stream.priority != priority || stream.unread == 0)
                    continue;
                auto const read = std::min(left, stream.unread);
                stream.unread -= read;
                left -= read;
            }
        }
        auto const read = s_chunk - left;
        m_tokens_read += read;
        m_now += s_step + s_step_of_a_stream * static_cast<double>(m_running.size())
            + SimulatedTime(read / m_tokens_read_in_a_ms);
        for (auto item = m_running.begin(); item != m_running.end();) {
            auto& stream = *item;
            if (stream.unread > 0) {
                ++item;
                continue;
            }
            ++stream.generated;
            bool const is_whole = stream.generated >= stream.output_tokens;
            if (stream.generated == 1 || stream.generated % s_tokens_of_an_event == 0 || is_whole)
                stream.on_event(m_now);
            if (!is_whole) {
                ++item;
                continue;
            }
            auto const on_end = std::move(stream.on_end);
            item = m_running.erase(item);
            on_end(m_now, true);
        }
    }

    double m_tokens_read_in_a_ms;
    SimulatedTime m_now {0};
    std::list<SimulatedStream> m_running;
    std::list<SimulatedStream> m_waiting;
    std::list<PromptPart> m_kept;
    std::uint64_t m_kept_tokens {0};
    std::uint64_t m_tokens_read {0};
};

}
