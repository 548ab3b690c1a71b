#include "filter/caller_key.h"
#include "filter/chain.h"

namespace dandelionridge::filter {

namespace {

constexpr int status_bad_request = 400;

std::optional<std::string> key_in_header(const net::http_request& request,
                                         const std::string& name) {
    const std::string* value = net::find_header(request.headers_, name);
    return value == nullptr || value->empty() ? std::nullopt : std::optional(*value);
}

// Removes the headers that only the fleet may set.
void remove_reserved(net::http_request& request, const config::header_policy& headers) {
    std::erase_if(request.headers_, [&](const net::http_header& header) {
        return header.name_ == headers.organisation_ || header.name_ == headers.caller_service_ ||
               header.name_ == headers.expected_target_;
    });
}

}  // namespace

void identify(request_context& context) {
    context.organisation_.clear();
    context.key_id_.clear();
    if (context.presented_key_.empty()) {
        return;
    }
    if (const config::key_rule* rule = config::find_key(*context.rules_, context.presented_key_)) {
        context.organisation_ = rule->organisation_;
        context.key_id_ = rule->id_;
    }
}

filter_result authenticate(request_context& context) {
    const std::string& key_header = context.headers_->key_;
    const std::optional<std::string> key = key_header.empty()
                                               ? presented_key(context.request_)
                                               : key_in_header(context.request_, key_header);
    context.presented_key_ = key.value_or("");
    identify(context);
    remove_reserved(context.request_, *context.headers_);
    if (!key_header.empty()) {
        strip_header_key(context.request_, key_header, context.presented_key_);
        return std::nullopt;
    }
    if (!strip_key(context.request_, context.presented_key_)) {
        return refusal{status_bad_request, outcome::not_run, reason::key_in_path, {}};
    }
    return std::nullopt;
}

}  // namespace dandelionridge::filter
