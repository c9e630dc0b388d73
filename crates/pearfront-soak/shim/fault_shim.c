/* Fault injection for one node process, preloaded in front of the C library: system calls that fail as Linux documents, short
 * reads and writes, delays and steps of the wall clock. The rates of the faults are read from a shared file (FAULT_SHIM) that
 * src/shim.rs writes, and each injected fault is counted there. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum fault { SOCKET, CONNECT, ACCEPT, INTERRUPTED, SHORT, NO_BUFFERS, DELAY, FAULTS };

/* The layout of the shared file; src/shim.rs has the same offsets. */
struct control {
    int64_t wall_offset_ns;
    uint64_t seed;
    uint32_t per_million[FAULTS];
    uint32_t delay_us;
    uint64_t count[FAULTS];
};

static struct control no_faults;
static struct control *control = &no_faults;
static uint64_t rng_state = 88172645463325252ull;

__attribute__((constructor)) static void map_control(void) {
    const char *path = getenv("FAULT_SHIM");
    int file = path ? open(path, O_RDWR | O_CLOEXEC) : -1;
    if (file < 0) return;
    void *mapped = mmap(NULL, sizeof(struct control), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    close(file);
    if (mapped == MAP_FAILED) return;
    control = mapped;
    rng_state ^= control->seed * 0x9e3779b97f4a7c15ull;
}

static uint64_t draw(void) {
    rng_state ^= rng_state << 13;
    rng_state ^= rng_state >> 7;
    rng_state ^= rng_state << 17;
    return rng_state;
}

static int should_inject(enum fault fault) {
    uint32_t per_million = control->per_million[fault];
    if (!per_million || draw() % 1000000 >= per_million) return 0;
    control->count[fault]++;
    return 1;
}

/* The async runtime's own pipes meet no faults: calls on them never block, so Linux never interrupts them. */
static int is_network(int socket) {
    int domain = 0;
    socklen_t length = sizeof domain;
    return getsockopt(socket, SOL_SOCKET, SO_DOMAIN, &domain, &length) == 0 && domain == AF_INET;
}

static int fail_with_one_of(const int *errors, int count) {
    errno = errors[draw() % count];
    return -1;
}

#define FAIL_WITH_ONE_OF(...) fail_with_one_of((const int[]){__VA_ARGS__}, sizeof((int[]){__VA_ARGS__}) / sizeof(int))
#define REAL(name) \
    static __typeof__(name) *real; \
    if (!real) real = (__typeof__(name) *)dlsym(RTLD_NEXT, #name)

/* Delays the process before a write, so between its reading of a clock and the write, or after a read. */
static void delay(void) {
    if (!should_inject(DELAY)) return;
    struct timespec time = {0, (long)control->delay_us * 1000};
    int saved_errno = errno;
    nanosleep(&time, NULL);
    errno = saved_errno;
}

int socket(int domain, int type, int protocol) {
    REAL(socket);
    if (domain == AF_INET && should_inject(SOCKET)) return FAIL_WITH_ONE_OF(ENFILE, EMFILE, ENOBUFS, ENOMEM);
    return real(domain, type, protocol);
}

int connect(int socket, const struct sockaddr *address, socklen_t length) {
    REAL(connect);
    delay();
    if (address->sa_family == AF_INET && should_inject(CONNECT))
        return FAIL_WITH_ONE_OF(EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH, ETIMEDOUT);
    return real(socket, address, length);
}

int accept4(int socket, struct sockaddr *address, socklen_t *length, int flags) {
    REAL(accept4);
    if (should_inject(ACCEPT)) return FAIL_WITH_ONE_OF(ECONNABORTED, ENFILE, EMFILE, ENOBUFS, EINTR, EPROTO);
    return real(socket, address, length, flags);
}

ssize_t recv(int socket, void *buffer, size_t length, int flags) {
    REAL(recv);
    if (!is_network(socket)) return real(socket, buffer, length, flags);
    if (should_inject(INTERRUPTED)) return FAIL_WITH_ONE_OF(EINTR);
    if (!(flags & MSG_PEEK) && length > 1 && should_inject(SHORT)) length = 1 + draw() % (length < 40 ? length : 40);
    ssize_t count = real(socket, buffer, length, flags);
    delay();
    return count;
}

ssize_t send(int socket, const void *from, size_t length, int flags) {
    REAL(send);
    if (!is_network(socket)) return real(socket, from, length, flags);
    delay();
    if (should_inject(INTERRUPTED)) return FAIL_WITH_ONE_OF(EINTR);
    if (should_inject(NO_BUFFERS)) return FAIL_WITH_ONE_OF(ENOBUFS, ENOMEM);
    if (length > 1 && should_inject(SHORT)) length = 1 + draw() % (length < 40 ? length : 40);
    return real(socket, from, length, flags);
}

ssize_t writev(int file, const struct iovec *parts, int count) {
    REAL(writev);
    if (file > 2 && is_network(file)) {
        delay();
        if (should_inject(INTERRUPTED)) return FAIL_WITH_ONE_OF(EINTR);
        if (should_inject(NO_BUFFERS)) return FAIL_WITH_ONE_OF(ENOBUFS, ENOMEM);
        if (count > 0 && parts[0].iov_len > 1 && should_inject(SHORT)) {
            struct iovec first = {parts[0].iov_base, 1 + draw() % (parts[0].iov_len - 1)};
            return real(file, &first, 1);
        }
    }
    return real(file, parts, count);
}

static int is_wall_clock(clockid_t clock) { return clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE; }

int clock_gettime(clockid_t clock, struct timespec *time) {
    REAL(clock_gettime);
    int result = real(clock, time);
    if (result == 0 && is_wall_clock(clock) && control->wall_offset_ns) {
        int64_t total_ns = (int64_t)time->tv_sec * 1000000000 + time->tv_nsec + control->wall_offset_ns;
        time->tv_sec = total_ns / 1000000000;
        time->tv_nsec = total_ns % 1000000000;
    }
    return result;
}
