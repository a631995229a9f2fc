#include "AllocationCounter.h"

#include <cstdlib>
#include <malloc.h>
#include <new>

namespace {

std::size_t liveBytes = 0; // the benchmark has one thread

void *allocate(std::size_t size)
{
    void *memory = std::malloc(size);
    if (memory == nullptr)
        throw std::bad_alloc();
    liveBytes += malloc_usable_size(memory);
    return memory;
}

void release(void *memory)
{
    if (memory == nullptr)
        return;
    liveBytes -= malloc_usable_size(memory);
    std::free(memory);
}

} // namespace

void *operator new(std::size_t size)
{
    return allocate(size);
}

void *operator new[](std::size_t size)
{
    return allocate(size);
}

void operator delete(void *memory) noexcept
{
    release(memory);
}

void operator delete[](void *memory) noexcept
{
    release(memory);
}

void operator delete(void *memory, std::size_t) noexcept
{
    release(memory);
}

void operator delete[](void *memory, std::size_t) noexcept
{
    release(memory);
}

namespace foxtailring::bench {

std::size_t allocatedBytes()
{
    return liveBytes;
}

} // namespace foxtailring::bench
