/*
 * A library that a test preloads into the program: it shifts the wall clock and has system calls fail, as a control file says.
 *
 * The file is mapped by the test and by the program, so that a change counts at once. All fields are 64-bit, in the machine's
 * byte order. Field 0 is added to CLOCK_REALTIME, in nanoseconds; CLOCK_MONOTONIC runs on. Behind it each call has four fields:
 * the error that it fails with (0 for none), how many of a thousand calls fail, how often it was made, how often it failed.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum call { ACCEPT, SOCKET, CONNECT, EPOLL_WAIT, READ, WRITE, FILE_WRITE, SYNC, CALLS };
enum { ERROR, PER_THOUSAND, MADE, FAILED, FIELDS };
enum { OFFSET_FIELD = 0, FIRST_CALL_FIELD = 1, CONTROL_FIELDS = FIRST_CALL_FIELD + CALLS * FIELDS };

/* In place of an error: the call is made, for one byte. */
#define SHORT_COUNT 1000

static _Atomic int64_t *control;
static _Atomic uint64_t seed = 88172645463325252u;

__attribute__((constructor)) static void map_control(void) {
    const char *path = getenv("FAULT_SHIM_CONTROL");
    int file = path == NULL ? -1 : open(path, O_RDWR | O_CLOEXEC);
    if (file < 0) {
        return;
    }
    void *mapped = mmap(NULL, CONTROL_FIELDS * sizeof(int64_t), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    close(file);
    control = mapped == MAP_FAILED ? NULL : mapped;
}

static uint64_t next_random(void) {
    uint64_t value = atomic_load(&seed);
    value ^= value << 13;
    value ^= value >> 7;
    value ^= value << 17;
    atomic_store(&seed, value);
    return value;
}

/* The error that this call fails with, or 0. */
static int64_t fault(enum call call) {
    if (control == NULL) {
        return 0;
    }
    _Atomic int64_t *fields = control + FIRST_CALL_FIELD + call * FIELDS;
    atomic_fetch_add(&fields[MADE], 1);
    int64_t error = atomic_load(&fields[ERROR]);
    if (error == 0 || (int64_t) (next_random() % 1000) >= atomic_load(&fields[PER_THOUSAND])) {
        return 0;
    }
    atomic_fetch_add(&fields[FAILED], 1);
    return error;
}

#define REAL(name) ((__typeof__(&name)) dlsym(RTLD_NEXT, #name))
#define FAIL_OR(call, made) \
    int64_t error = fault(call); \
    if (error != 0) { errno = (int) error; return -1; } \
    return made

static int is_socket(int file) {
    struct stat status;
    return fstat(file, &status) == 0 && S_ISSOCK(status.st_mode);
}

static int is_regular(int file) {
    struct stat status;
    return fstat(file, &status) == 0 && S_ISREG(status.st_mode);
}

int clock_gettime(clockid_t clock, struct timespec *time) {
    static __typeof__(&clock_gettime) real;
    if (real == NULL) {
        real = REAL(clock_gettime);
    }
    int result = real(clock, time);
    if (result == 0 && control != NULL && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t shifted = time->tv_sec * 1000000000LL + time->tv_nsec + atomic_load(&control[OFFSET_FIELD]);
        time->tv_sec = shifted / 1000000000LL;
        time->tv_nsec = shifted % 1000000000LL;
    }
    return result;
}

int gettimeofday(struct timeval *time, void *zone) {
    (void) zone;
    struct timespec now;
    int result = clock_gettime(CLOCK_REALTIME, &now);
    time->tv_sec = now.tv_sec;
    time->tv_usec = now.tv_nsec / 1000;
    return result;
}

int accept(int listener, struct sockaddr *address, socklen_t *length) {
    FAIL_OR(ACCEPT, REAL(accept)(listener, address, length));
}

int accept4(int listener, struct sockaddr *address, socklen_t *length, int flags) {
    FAIL_OR(ACCEPT, REAL(accept4)(listener, address, length, flags));
}

int socket(int domain, int type, int protocol) {
    FAIL_OR(SOCKET, REAL(socket)(domain, type, protocol));
}

int connect(int file, const struct sockaddr *address, socklen_t length) {
    FAIL_OR(CONNECT, REAL(connect)(file, address, length));
}

int epoll_wait(int file, struct epoll_event *events, int most, int timeout) {
    FAIL_OR(EPOLL_WAIT, REAL(epoll_wait)(file, events, most, timeout));
}

/* Only sockets fail here: what the virtual machine reads of its own files is not at stake. */
ssize_t read(int file, void *bytes, size_t count) {
    int64_t error = is_socket(file) ? fault(READ) : 0;
    if (error != 0 && error != SHORT_COUNT) {
        errno = (int) error;
        return -1;
    }
    return REAL(read)(file, bytes, error == SHORT_COUNT && count > 1 ? 1 : count);
}

ssize_t write(int file, const void *bytes, size_t count) {
    int64_t error = is_socket(file) ? fault(WRITE) : is_regular(file) ? fault(FILE_WRITE) : 0;
    if (error != 0 && error != SHORT_COUNT) {
        errno = (int) error;
        return -1;
    }
    return REAL(write)(file, bytes, error == SHORT_COUNT && count > 1 ? 1 : count);
}

int fsync(int file) {
    FAIL_OR(SYNC, REAL(fsync)(file));
}

int fdatasync(int file) {
    FAIL_OR(SYNC, REAL(fdatasync)(file));
}
