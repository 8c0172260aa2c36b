#pragma once

#include <LibHTTP/EventStream.h>
#include <LibHTTP/HeadLines.h>
#include <LibHTTP/HeaderList.h>
#include <LibSide/EngineClient.h>

#include <string>
#include <string_view>

#include <curl/curl.h>

namespace GraniteField::Side {

/// One request to the backend server under way: its libcurl handle and what has come so far.
class RunningCall {
public:
    RunningCall(EngineClient&, EngineCall);
    ~RunningCall();
    RunningCall(RunningCall const&) = delete;
    RunningCall& operator=(RunningCall const&) = delete;

    [[nodiscard]] CURL* handle() const { return m_handle; }
    [[nodiscard]] Policy::AttemptKey const& key() const { return m_call.key; }

    void set_paused(bool);
    /// Tries again to hand on what did not fit into the ring.
    void retry_if_blocked();

    /// How the call ended, from libcurl's code and from what the answer itself says of its end.
    [[nodiscard]] AnswerEnd end(CURLcode) const;

private:
    static std::size_t take_header(char*, std::size_t, std::size_t, void*);
    static std::size_t take_body(char*, std::size_t, std::size_t, void*);
    void set_options();
    /// Reads what the complete head says about the body.
    void read_head();
    [[nodiscard]] bool hand_on(std::string_view);
    [[nodiscard]] int status() const;
    [[nodiscard]] bool has_sent_bytes() const;

    EngineClient& m_client;
    EngineCall m_call;
    std::string m_url;
    HTTP::HeaderList m_headers;
    CURL* m_handle;
    HTTP::HeadLines m_head;
    HTTP::EventStreamScanner m_scanner;
    /// The beginning of an event of which the rest has not come. Only whole events are handed on, so that a
    /// suspended stream goes on at the start of one.
    std::string m_partial;
    std::string m_content_type;
    bool m_is_event_stream {false};
    bool m_has_framed_end {false};
    bool m_has_sent_piece {false};
    bool m_is_paused {false};
    bool m_is_blocked {false};
};

}
