// Who reads the platform for a zone, and by which tree a version spreads from there.
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionridge::policy {

// Hosts of a zone that watch the platform.
inline constexpr std::size_t readers_a_zone = 3;

// Hosts that one host passes a version on to.
inline constexpr std::size_t spread_fan_out = 4;

// True if the host is among the readers of its zone.
bool is_reader(std::string_view zone, std::span<const std::string> hosts, std::string_view self);

// The hosts to which `self` passes a version on that `origin` read, in the tree of that origin over
// the sorted hosts of the zone. Every host but the origin has exactly one parent.
std::vector<std::string> spread_children(std::span<const std::string> hosts,
                                         std::string_view origin, std::string_view self);

}  // namespace dandelionridge::policy
