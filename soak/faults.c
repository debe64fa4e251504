/* Makes system calls of one process fail or fall short, and steps its wall clock. It is preloaded.
 *
 * SOAK_FAULTS holds items `call:errno:share`, separated by commas. `call` is accept, socket, bind, connect, wait,
 * read or write; the errno SHORT shortens a read or a write in place of failing it. SOAK_SEED seeds the choice of calls.
 * SOAK_CLOCK is `after_s:step_s`: so long after the start, the wall clock is stepped by so many seconds.
 * Reads and writes are left alone unless they are on a stream socket.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum call { ACCEPT, SOCKET, BIND, CONNECT, WAIT, READ, WRITE, CALLS };
static const char *const call_names[CALLS] = {"accept", "socket", "bind", "connect", "wait", "read", "write"};
enum { MAX_FAULTS_PER_CALL = 8, SHORT_IO = -1 };
struct fault { int error; double share; };
static struct fault faults[CALLS][MAX_FAULTS_PER_CALL];
static int fault_counts[CALLS];
static unsigned long long random_state = 88172645463325252ULL;
static double step_after_s = -1.0, step_s = 0.0;
static struct timespec started;

static const struct { const char *name; int value; } error_names[] = {
    {"EMFILE", EMFILE}, {"ENFILE", ENFILE}, {"ENOBUFS", ENOBUFS}, {"ENOMEM", ENOMEM}, {"ECONNABORTED", ECONNABORTED},
    {"EADDRNOTAVAIL", EADDRNOTAVAIL}, {"ENETUNREACH", ENETUNREACH}, {"EHOSTUNREACH", EHOSTUNREACH},
    {"ETIMEDOUT", ETIMEDOUT}, {"ECONNRESET", ECONNRESET}, {"EINTR", EINTR}, {"EPERM", EPERM}, {"EADDRINUSE", EADDRINUSE}, {"SHORT", SHORT_IO}};

static double next_random(void) {
    random_state ^= random_state << 13;
    random_state ^= random_state >> 7;
    random_state ^= random_state << 17;
    return (double)(random_state >> 11) / 9007199254740992.0;
}

static void add_fault(char *item) {
    char *rest = NULL;
    const char *call = strtok_r(item, ":", &rest), *error = strtok_r(NULL, ":", &rest);
    const char *share = strtok_r(NULL, ":", &rest);
    if (!call || !error || !share) return;
    for (int i = 0; i < CALLS; i++) {
        if (strcmp(call, call_names[i]) || fault_counts[i] == MAX_FAULTS_PER_CALL) continue;
        for (size_t j = 0; j < sizeof error_names / sizeof *error_names; j++)
            if (!strcmp(error, error_names[j].name))
                faults[i][fault_counts[i]++] = (struct fault){error_names[j].value, atof(share)};
    }
}

__attribute__((constructor)) static void initialize(void) {
    const char *seed = getenv("SOAK_SEED"), *list = getenv("SOAK_FAULTS"), *clock = getenv("SOAK_CLOCK");
    if (seed) random_state ^= strtoull(seed, NULL, 10) * 2654435761ULL;
    if (list) {
        char *copy = strdup(list), *rest = NULL;
        for (char *item = strtok_r(copy, ",", &rest); item; item = strtok_r(NULL, ",", &rest)) add_fault(item);
        free(copy);
    }
    if (clock) {
        char *end;
        step_after_s = strtod(clock, &end);
        step_s = *end == ':' ? strtod(end + 1, NULL) : 0.0;
    }
    int (*real)(clockid_t, struct timespec *) = dlsym(RTLD_NEXT, "clock_gettime");
    real(CLOCK_MONOTONIC, &started);
}

/* Return 0 or the error with which this call fails; SHORT_IO if it falls short. */
static int drawn_error(enum call call) {
    double drawn;
    if (!fault_counts[call]) return 0;
    drawn = next_random();
    for (int i = 0; i < fault_counts[call]; i++) {
        drawn -= faults[call][i].share;
        if (drawn < 0) return faults[call][i].error;
    }
    return 0;
}

static int is_stream_socket(int fd) {
    int type = 0;
    socklen_t size = sizeof type;
    int saved = errno, found = !getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &size) && type == SOCK_STREAM;
    errno = saved;
    return found;
}

#define REAL(name) static __typeof__(name) *real; if (!real) real = (__typeof__(name) *)dlsym(RTLD_NEXT, #name)
#define FAIL(call) do { int error = drawn_error(call); if (error > 0) { errno = error; return -1; } } while (0)

int accept4(int fd, struct sockaddr *address, socklen_t *size, int flags) {
    REAL(accept4);
    FAIL(ACCEPT);
    return real(fd, address, size, flags);
}

int accept(int fd, struct sockaddr *address, socklen_t *size) {
    REAL(accept);
    FAIL(ACCEPT);
    return real(fd, address, size);
}

int socket(int domain, int type, int protocol) {
    REAL(socket);
    FAIL(SOCKET);
    return real(domain, type, protocol);
}

int bind(int fd, const struct sockaddr *address, socklen_t size) {
    REAL(bind);
    FAIL(BIND);
    return real(fd, address, size);
}

int connect(int fd, const struct sockaddr *address, socklen_t size) {
    REAL(connect);
    FAIL(CONNECT);
    return real(fd, address, size);
}

int epoll_pwait(int fd, struct epoll_event *events, int count, int timeout, const sigset_t *signals) {
    REAL(epoll_pwait);
    FAIL(WAIT);
    return real(fd, events, count, timeout, signals);
}

int epoll_wait(int fd, struct epoll_event *events, int count, int timeout) {
    REAL(epoll_wait);
    FAIL(WAIT);
    return real(fd, events, count, timeout);
}

static size_t shortened(size_t size) { return size > 1 ? 1 + (size_t)(next_random() * (double)(size - 1)) : size; }

ssize_t read(int fd, void *buffer, size_t size) {
    REAL(read);
    if (fault_counts[READ] && is_stream_socket(fd)) {
        int error = drawn_error(READ);
        if (error > 0) { errno = error; return -1; }
        if (error == SHORT_IO) size = shortened(size);
    }
    return real(fd, buffer, size);
}

ssize_t write(int fd, const void *buffer, size_t size) {
    REAL(write);
    if (fault_counts[WRITE] && is_stream_socket(fd)) {
        int error = drawn_error(WRITE);
        if (error > 0) { errno = error; return -1; }
        if (error == SHORT_IO) size = shortened(size);
    }
    return real(fd, buffer, size);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    REAL(writev);
    if (count > 0 && fault_counts[WRITE] && is_stream_socket(fd)) {
        int error = drawn_error(WRITE);
        if (error > 0) { errno = error; return -1; }
        if (error == SHORT_IO) return write(fd, parts[0].iov_base, parts[0].iov_len);
    }
    return real(fd, parts, count);
}

int clock_gettime(clockid_t id, struct timespec *now) {
    REAL(clock_gettime);
    int result = real(id, now);
    if (!result && id == CLOCK_REALTIME && step_after_s >= 0.0) {
        struct timespec passed;
        real(CLOCK_MONOTONIC, &passed);
        if ((double)(passed.tv_sec - started.tv_sec) >= step_after_s) now->tv_sec += (time_t)step_s;
    }
    return result;
}
