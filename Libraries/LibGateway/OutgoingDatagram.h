#pragma once

#include <memory>
#include <string>

namespace GraniteField::Gateway {

struct OutgoingDatagram {
    std::string address;
    std::shared_ptr<std::string const> bytes;
};

}
