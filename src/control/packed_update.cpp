#include "control/packed_update.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <zlib.h>

#include <memory>
#include <string>

#include "config/line_history.h"

namespace dandelionridge::control {

namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

constexpr std::size_t min_packed_bytes = 1024;
constexpr std::int32_t max_unpacked_bytes = 64 * 1024 * 1024;

tl::unexpected<base::error> unpack_error(const std::string& problem) {
    return base::fail(base::error_kind::protocol,
                      "the packed lines of an update " + problem + "; request all lines");
}

std::string encode(const wire::changed_lines& lines) {
    const auto memory = std::make_shared<TMemoryBuffer>();
    TCompactProtocolT<TMemoryBuffer> protocol(memory);
    lines.write(&protocol);
    return memory->getBufferAsString();
}

}  // namespace

void pack_lines(wire::config_update& update) {
    if (config::total_bytes(update.removed) + config::total_bytes(update.added) <
        min_packed_bytes) {
        return;
    }
    wire::changed_lines lines;
    lines.removed.swap(update.removed);
    lines.added.swap(update.added);
    const std::string encoded = encode(lines);
    uLongf size = compressBound(encoded.size());
    std::string packed(size, '\0');
    // Speed matters more than size: the loop waits for it.
    const int status =
        compress2(reinterpret_cast<Bytef*>(packed.data()), &size,
                  reinterpret_cast<const Bytef*>(encoded.data()), encoded.size(), Z_BEST_SPEED);
    if (status != Z_OK) {
        // Only for lack of memory. The lines go as they are.
        update.removed.swap(lines.removed);
        update.added.swap(lines.added);
        return;
    }
    packed.resize(size);
    update.__set_packed(packed);
    update.__set_unpacked_bytes(static_cast<std::int32_t>(encoded.size()));
}

base::result<void> unpack_lines(wire::config_update& update) {
    if (!update.__isset.packed) {
        return {};
    }
    if (update.unpacked_bytes <= 0 || update.unpacked_bytes > max_unpacked_bytes) {
        return unpack_error("would have " + std::to_string(update.unpacked_bytes) + " bytes");
    }
    std::string encoded(static_cast<std::size_t>(update.unpacked_bytes), '\0');
    uLongf size = encoded.size();
    const int status =
        uncompress(reinterpret_cast<Bytef*>(encoded.data()), &size,
                   reinterpret_cast<const Bytef*>(update.packed.data()), update.packed.size());
    if (status != Z_OK || size != encoded.size()) {
        return unpack_error("cannot be decompressed");
    }
    const auto memory = std::make_shared<TMemoryBuffer>(
        reinterpret_cast<std::uint8_t*>(encoded.data()), static_cast<std::uint32_t>(size));
    TCompactProtocolT<TMemoryBuffer> protocol(memory);
    wire::changed_lines lines;
    try {
        lines.read(&protocol);
    } catch (const apache::thrift::TException&) {
        return unpack_error("cannot be decoded");
    }
    update.removed = std::move(lines.removed);
    update.added = std::move(lines.added);
    update.__isset.packed = false;
    update.packed.clear();
    return {};
}

}  // namespace dandelionridge::control
