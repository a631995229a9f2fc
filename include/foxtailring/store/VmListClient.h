#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/store/Vm.h"

#include <functional>
#include <memory>
#include <string_view>
#include <vector>

namespace foxtailring {

class Http1Client;
struct Endpoint;

/// \brief Reads the platform's list of live and leaving VMs (`GET /v1/vms`). Thread-safe.
///
/// The list lags behind the VMs that exist.
class VmListClient
{
public:
    using ListHook = std::function<void(Result<std::vector<Vm>>)>;

    /// \param http must outlive the client
    VmListClient(Http1Client &http, const Endpoint &platform);
    ~VmListClient();

    /// \brief Malformed when any VM cannot be decoded: the result is never a partial list.
    void list(ListHook hook);

    static Result<std::vector<Vm>> parse(std::string_view json);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace foxtailring
