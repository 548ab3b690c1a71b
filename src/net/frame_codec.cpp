#include "net/frame_codec.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <array>
#include <memory>

#include "wire/gen/fleet_types.h"

namespace dandelionridge::net {

namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

constexpr std::size_t length_prefix_bytes = 4;

std::uint32_t read_length(std::string_view bytes) {
    std::uint32_t length = 0;
    for (std::size_t i = 0; i < length_prefix_bytes; ++i) {
        length = (length << 8U) | static_cast<unsigned char>(bytes[i]);
    }
    return length;
}

void write_length(std::uint32_t length, std::string& out) {
    for (std::size_t i = 0; i < length_prefix_bytes; ++i) {
        out.push_back(static_cast<char>((length >> (8U * (length_prefix_bytes - 1 - i))) & 0xffU));
    }
}

std::optional<wire::frame> decode(std::string_view body) {
    // The buffer does not copy or change the bytes, but Thrift takes a pointer to mutable bytes.
    auto* start = reinterpret_cast<std::uint8_t*>(const_cast<char*>(body.data()));
    const auto memory =
        std::make_shared<TMemoryBuffer>(start, static_cast<std::uint32_t>(body.size()));
    TCompactProtocolT<TMemoryBuffer> protocol(memory);
    wire::frame frame;
    try {
        frame.read(&protocol);
    } catch (const apache::thrift::TException&) {
        return std::nullopt;
    }
    return frame;
}

}  // namespace

std::string encode_frame(const wire::frame& frame) {
    const auto memory = std::make_shared<TMemoryBuffer>();
    TCompactProtocolT<TMemoryBuffer> protocol(memory);
    frame.write(&protocol);
    std::uint8_t* start = nullptr;
    std::uint32_t count = 0;
    memory->getBuffer(&start, &count);
    std::string out;
    out.reserve(length_prefix_bytes + count);
    write_length(count, out);
    out.append(reinterpret_cast<const char*>(start), count);
    return out;
}

void frame_decoder::append(std::string_view bytes) {
    if (offset_ > 0) {
        bytes_.erase(0, offset_);
        offset_ = 0;
    }
    bytes_.append(bytes);
}

base::result<std::optional<wire::frame>> frame_decoder::next() {
    const std::string_view remaining = std::string_view(bytes_).substr(offset_);
    if (remaining.size() < length_prefix_bytes) {
        return std::nullopt;
    }
    const std::uint32_t length = read_length(remaining);
    if (length > max_frame_bytes) {
        return base::fail(base::error_kind::protocol,
                          "a peer sent a frame of " + std::to_string(length) +
                              " bytes, more than the limit of " + std::to_string(max_frame_bytes) +
                              " bytes; check that only "
                              "dandelionridge processes connect to the peer port");
    }
    if (remaining.size() < length_prefix_bytes + length) {
        return std::nullopt;
    }
    std::optional<wire::frame> frame = decode(remaining.substr(length_prefix_bytes, length));
    if (!frame) {
        return base::fail(
            base::error_kind::protocol,
            "cannot decode a frame from a peer; upgrade the older of the two processes");
    }
    last_frame_bytes_ = length_prefix_bytes + length;
    offset_ += last_frame_bytes_;
    return frame;
}

}  // namespace dandelionridge::net
