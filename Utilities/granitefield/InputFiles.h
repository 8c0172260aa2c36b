#pragma once

#include "Options.h"

#include <concepts>
#include <cstddef>
#include <fstream>
#include <iostream>
#include <istream>
#include <stdexcept>

namespace GraniteField::CommandLine {

/// Reads each file that is named from the word `first` on, or standard input where none is. Throws std::runtime_error
/// for a file that can't be read.
template <std::invocable<std::istream&> Read>
void read_input_files(Options const& options, std::size_t first, Read read)
{
    if (options.words.size() <= first)
        return read(std::cin);
    for (std::size_t index = first; index < options.words.size(); ++index) {
        std::ifstream file(options.words[index]);
        if (!file)
            throw std::runtime_error("can't read " + options.words[index]);
        read(file);
    }
}

}
