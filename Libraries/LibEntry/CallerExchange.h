#pragma once

#include <LibEntry/Call.h>

#include <atomic>
#include <cstddef>
#include <mutex>
#include <optional>
#include <string>

#include <microhttpd.h>

namespace GraniteField::Entry {

/// A whole answer, to be given in one piece.
struct FullAnswer {
    int status {200};
    std::string content_type;
    std::string body;
    Outcome outcome {Outcome::Done};
    std::optional<Core::Milliseconds> retry_after;
    bool is_replay {false};
};

/// An error as a whole answer.
[[nodiscard]] FullAnswer make_error_answer(ErrorAnswer const&, Core::RequestId);

/// The HTTP response for a whole answer. The caller destroys it.
[[nodiscard]] MHD_Response* make_response(FullAnswer const&, Core::RequestId);

/// The answer to one caller, between the router's thread, which writes it, and the HTTP server's threads,
/// which hand it on. While there is nothing to hand on, the caller's connection is suspended and costs no
/// thread.
class CallerExchange {
public:
    CallerExchange(Core::RequestId request, MHD_Connection* connection, int descriptor)
        : m_request(request)
        , m_connection(connection)
        , m_descriptor(descriptor)
    {
    }
    CallerExchange(CallerExchange const&) = delete;
    CallerExchange& operator=(CallerExchange const&) = delete;

    [[nodiscard]] Core::RequestId request() const { return m_request; }

    // For the router.

    /// Gives the whole answer. Only before begin_stream().
    void answer(FullAnswer);
    /// Begins an answer of which more follows.
    void begin_stream(int status, std::string content_type);
    void append(std::string_view);
    /// The answer is whole.
    void finish();
    /// The answer ends here though it is not whole: after `last_bytes` the connection is closed without
    /// the end that HTTP gives a whole answer.
    void cut(std::string_view last_bytes);
    /// Bytes that the caller has not taken yet.
    [[nodiscard]] std::size_t pending_bytes() const;
    /// Whether the caller has closed its connection.
    [[nodiscard]] bool is_caller_gone() const;

    // For the HTTP server.

    /// Suspends the connection until there is an answer.
    void suspend();
    [[nodiscard]] bool has_answer() const;
    /// Queues the response for the connection.
    MHD_Result respond();
    /// The connection is over; `is_complete` when all of the answer was sent.
    void detach(bool is_complete);

private:
    static ssize_t read_stream(void*, std::uint64_t, char*, std::size_t);
    [[nodiscard]] ssize_t read(char* buffer, std::size_t size);
    MHD_Result respond_stream();
    void resume();

    enum class Progress {
        Waiting,
        Full,
        Streaming,
        Finished,
        Cut,
    };

    Core::RequestId m_request;
    mutable std::mutex m_mutex;
    MHD_Connection* m_connection;
    int m_descriptor;
    bool m_is_suspended {false};
    bool m_is_gone {false};
    Progress m_progress {Progress::Waiting};
    FullAnswer m_answer;
    std::string m_pending;
    std::size_t m_consumed {0};
    MHD_Response* m_stream_response {nullptr};
};

}
