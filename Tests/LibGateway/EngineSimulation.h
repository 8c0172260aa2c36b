#pragma once

// Simulates model engines in simulated time: batches, prompts prefilled in chunks between the decoding steps of other
// streams, slots, a cache of prompt parts, and priorities. Covers only what determines the behaviour of the deployed
// engines.
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

/// A stream at an engine.
struct SimulatedStream {
    /// The engine from which cached parts of the prompt are fetched; null for none.
    EngineSimulation const* source {nullptr};
    unsigned priority {0};
    std::vector<PromptPart> prompt;
    std::uint32_t output_tokens {0};
    /// Time at which the caller leaves.
    SimulatedTime deadline {0};
    std::function<void(SimulatedTime)> on_event;
    /// Called once, when the stream is complete or its caller has left.
    std::function<void(SimulatedTime, bool is_whole)> on_end;

    std::uint32_t tokens_to_prefill {0};
    std::uint32_t generated {0};
};

class EngineSimulation {
public:
    // Values from a deployment's sheet.
    static constexpr std::size_t s_slots = 64;
    static constexpr std::uint64_t s_memory_tokens = 486'000;
    static constexpr SimulatedTime s_step {4.34};
    static constexpr SimulatedTime s_step_per_stream {0.151};
    static constexpr double s_prefill_tokens_per_ms = 36.7;
    static constexpr std::uint32_t s_prefill_chunk_tokens = 2'048;
    static constexpr std::uint32_t s_tokens_per_event = 4;

    explicit EngineSimulation(double prefill_tokens_per_ms = s_prefill_tokens_per_ms)
        : m_prefill_tokens_per_ms(prefill_tokens_per_ms)
    {
    }

    void submit(SimulatedStream stream)
    {
        m_waiting.push_back(std::move(stream));
        m_waiting.sort([](auto const& first, auto const& second) { return first.priority < second.priority; });
    }

    /// Simulates the engine until this time.
    void run_until(SimulatedTime time)
    {
        while (m_now < time) {
            drop_expired();
            admit();
            if (m_running.empty()) {
                m_now = time;
                return;
            }
            step();
        }
    }

    [[nodiscard]] std::uint64_t prefilled_tokens() const { return m_prefilled_tokens; }
    [[nodiscard]] bool has_cached(PromptPart const& part) const
    {
        return std::ranges::find(m_cached, part.prefix_hash, &PromptPart::prefix_hash) != m_cached.end();
    }
    [[nodiscard]] std::size_t open() const { return m_running.size() + m_waiting.size(); }

private:
    void drop_expired()
    {
        auto const drop = [this](auto& streams) {
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
        drop(m_running);
        drop(m_waiting);
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
            stream.tokens_to_prefill = stream.prompt.back().tokens;
            for (std::size_t index = 0; index + 1 < stream.prompt.size(); ++index)
                stream.tokens_to_prefill += use_part(stream.prompt[index], stream.source);
            m_running.splice(m_running.end(), m_waiting, m_waiting.begin());
        }
    }

    /// Uses a shared part, caching it if necessary; returns the number of tokens to prefill.
    std::uint32_t use_part(PromptPart const& part, EngineSimulation const* source)
    {
        auto const found = std::ranges::find(m_cached, part.prefix_hash, &PromptPart::prefix_hash);
        bool const is_fetched = source != nullptr && source->has_cached(part);
        std::uint32_t tokens_to_prefill = 0;
        if (found != m_cached.end()) {
            m_cached.splice(m_cached.begin(), m_cached, found);
        } else {
            m_cached.push_front(part);
            m_cached_tokens += part.tokens;
            tokens_to_prefill = is_fetched ? 0 : part.tokens;
        }
        while (m_cached.size() > 1 && m_cached_tokens + held_tokens() > s_memory_tokens) {
            m_cached_tokens -= m_cached.back().tokens;
            m_cached.pop_back();
        }
        return tokens_to_prefill;
    }

    void step()
    {
        auto remaining = s_prefill_chunk_tokens;
        for (unsigned priority = 0; priority < 10; ++priority) {
            for (auto& stream : m_running) {
                if (stream.priority != priority || stream.tokens_to_prefill == 0)
                    continue;
                auto const read = std::min(remaining, stream.tokens_to_prefill);
                stream.tokens_to_prefill -= read;
                remaining -= read;
            }
        }
        auto const read = s_prefill_chunk_tokens - remaining;
        m_prefilled_tokens += read;
        m_now += s_step + s_step_per_stream * static_cast<double>(m_running.size())
            + SimulatedTime(read / m_prefill_tokens_per_ms);
        for (auto item = m_running.begin(); item != m_running.end();) {
            auto& stream = *item;
            if (stream.tokens_to_prefill > 0) {
                ++item;
                continue;
            }
            ++stream.generated;
            bool const is_whole = stream.generated >= stream.output_tokens;
            if (stream.generated == 1 || stream.generated % s_tokens_per_event == 0 || is_whole)
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

    double m_prefill_tokens_per_ms;
    SimulatedTime m_now {0};
    std::list<SimulatedStream> m_running;
    std::list<SimulatedStream> m_waiting;
    std::list<PromptPart> m_cached;
    std::uint64_t m_cached_tokens {0};
    std::uint64_t m_prefilled_tokens {0};
};

}
