#pragma once

#include <LibEntry/Call.h>

#include <atomic>
#include <cstddef>
#include <mutex>
#include <optional>
#include <string>

#include <microhttpd.h>

namespace GraniteField::Entry {

/// A complete answer that is sent at once.
struct FullAnswer {
    int status {200};
    std::string content_type;
    std::string body;
    Outcome outcome {Outcome::Done};
    std::optional<Core::Milliseconds> retry_after;
    bool is_replay {false};
};

/// Returns an error as a complete answer.
[[nodiscard]] FullAnswer make_error_answer(ErrorAnswer const&, Core::RequestId);

/// Returns the HTTP response for a complete answer. The calling function destroys it.
[[nodiscard]] MHD_Response* make_response(FullAnswer const&, Core::RequestId);

/// The answer to one caller. The router's thread writes it and the HTTP server's threads send it. The caller's
/// connection is suspended and occupies no thread while there is nothing to send.
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

    // Interface for the router.

    /// Sends a complete answer. Must not follow begin_stream().
    void answer(FullAnswer);
    /// Starts an answer whose body follows with append().
    void begin_stream(int status, std::string content_type);
    void append(std::string_view);
    /// Completes a streamed answer.
    void finish();
    /// Aborts a streamed answer: closes the connection after `last_bytes`, without the end of a complete HTTP message.
    void cut(std::string_view last_bytes);
    /// Returns the number of bytes that the caller has not received yet.
    [[nodiscard]] std::size_t pending_bytes() const;
    /// Returns whether the caller has closed its connection.
    [[nodiscard]] bool is_caller_gone() const;

    // Interface for the HTTP server.

    /// Suspends the connection until there is an answer.
    void suspend();
    [[nodiscard]] bool has_answer() const;
    /// Queues the response for the connection.
    MHD_Result respond();
    /// Detaches the connection, which has ended; `is_complete` states whether the complete answer was sent.
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
