#pragma once

#include "BatchEngine.h"

#include <LibCore/Address.h>

#include <cstdint>
#include <memory>

struct MHD_Connection;
struct MHD_Daemon;

namespace GraniteField::StandIns {

/// A model engine for tests and the demo: HTTP in front of a BatchEngine.
///
/// `POST /v1/chat/completions` takes the usual body. The last message says what is generated:
/// `tag=<word> tokens=<count>`, and the answer is `<word>:1 <word>:2 ...`, so that any foreign, missing or
/// repeated piece shows. `GET /load` gives a load report that lags; `GET /control/executions` the log of
/// all executions; `POST /control` changes the switches; `POST /control/crash` ends the process at once.
class ModelEngine {
public:
    ModelEngine(Core::Address const&, BatchEngine::Settings);
    ~ModelEngine();
    ModelEngine(ModelEngine const&) = delete;
    ModelEngine& operator=(ModelEngine const&) = delete;

    [[nodiscard]] std::uint16_t port() const;

private:
    struct Call;

    static int handle(void*, MHD_Connection*, char const* url, char const* method, char const* version,
        char const* upload, std::size_t* upload_size, void** context);
    [[nodiscard]] int answer(MHD_Connection*, Call&);
    [[nodiscard]] int complete(MHD_Connection*, Call&);
    [[nodiscard]] int control(MHD_Connection*, Call const&);

    BatchEngine m_engine;
    MHD_Daemon* m_daemon;
};

}
