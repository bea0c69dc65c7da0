/*
 * Makes system calls on sockets fail, for tests. It is preloaded into proxy processes only.
 *
 * SYSCALL_FAULTS       comma-separated faults, each CALL=FAULT. CALL is recv, send, accept, socket, bind or listen, or
 *                      upstream_recv or upstream_send for sockets whose local port is not the listener's, or
 *                      local_send for Unix sockets, which include the pipe for signals; FAULT is the name of an errno,
 *                      or "short" for a transfer of one byte.
 * SYSCALL_FAULTS_RATE  one call in this number fails; with 0 only the first calls fail.
 * SYSCALL_FAULTS_FIRST the number of calls of each kind that fail first.
 * SYSCALL_FAULTS_PORT  the port of the listener.
 * SYSCALL_FAULTS_SEED  the seed of the random choices.
 * SYSCALL_FAULTS_CLOCK the offset of the wall clock in seconds at its first reading and at all later ones: "3600 -3600".
 * SYSCALL_FAULTS_COUNT a file of 8 bytes that holds the count of injected faults.
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

enum call { RECV, SEND, UPSTREAM_RECV, UPSTREAM_SEND, LOCAL_SEND, ACCEPT, SOCKET, BIND, LISTEN, CALLS };
enum { SHORT_TRANSFER = -1, NO_FAULT = 0, MAX_FAULTS = 32 };

static const char *const CALL_NAMES[CALLS] = {"recv",   "send",   "upstream_recv", "upstream_send", "local_send",
                                              "accept", "socket", "bind",          "listen"};
static const struct {
    const char *name;
    int error;
} FAULT_NAMES[] = {
    {"short", SHORT_TRANSFER},       {"EINTR", EINTR},           {"ECONNABORTED", ECONNABORTED},
    {"EMFILE", EMFILE},              {"ENFILE", ENFILE},         {"ENOBUFS", ENOBUFS},
    {"ENOMEM", ENOMEM},              {"EADDRNOTAVAIL", EADDRNOTAVAIL},
    {"EPROTO", EPROTO},              {"EHOSTUNREACH", EHOSTUNREACH}, {"ENETUNREACH", ENETUNREACH},
    {"ETIMEDOUT", ETIMEDOUT},        {"EPERM", EPERM},           {"ECONNRESET", ECONNRESET},
};

static int faults[CALLS][MAX_FAULTS];
static int fault_count[CALLS];
static uint64_t rate, first;
static int listener_port;
static long first_clock_offset, later_clock_offset;
static _Atomic int is_clock_read;
static _Atomic uint64_t calls_made[CALLS];
static _Atomic uint64_t state;
static _Atomic uint64_t *injected;

/*
 * The functions of the C library. They are looked up once, before the program starts: dlsym takes the loader's lock, which
 * a signal handler that interrupts another look-up would wait for without end.
 */
#define FORWARDED(apply) \
    apply(recv) apply(send) apply(read) apply(write) apply(accept4) apply(socket) apply(bind) apply(listen) apply(clock_gettime)
#define DECLARE(name) static __typeof__(&name) real_##name;
#define RESOLVE(name)                                         \
    real_##name = (__typeof__(&name))dlsym(RTLD_NEXT, #name); \
    if (!real_##name) abort();
#define REAL(name) real_##name

FORWARDED(DECLARE)

static void add_fault(const char *call, const char *fault) {
    for (int c = 0; c < CALLS; c++) {
        if (strcmp(call, CALL_NAMES[c]) != 0 || fault_count[c] == MAX_FAULTS) continue;
        for (size_t f = 0; f < sizeof FAULT_NAMES / sizeof *FAULT_NAMES; f++) {
            if (strcmp(fault, FAULT_NAMES[f].name) == 0) {
                faults[c][fault_count[c]++] = FAULT_NAMES[f].error;
                return;
            }
        }
    }
    /* Aborts because a run with a misspelled fault would test nothing. */
    abort();
}

__attribute__((constructor)) static void configure(void) {
    FORWARDED(RESOLVE)
    const char *list = getenv("SYSCALL_FAULTS"), *one_in = getenv("SYSCALL_FAULTS_RATE");
    const char *seed = getenv("SYSCALL_FAULTS_SEED"), *count = getenv("SYSCALL_FAULTS_COUNT");
    const char *first_calls = getenv("SYSCALL_FAULTS_FIRST"), *port = getenv("SYSCALL_FAULTS_PORT");
    const char *clock_offsets = getenv("SYSCALL_FAULTS_CLOCK");
    if (!list || !one_in || !seed || !count || !first_calls || !port || !clock_offsets) abort();
    if (sscanf(clock_offsets, "%ld %ld", &first_clock_offset, &later_clock_offset) != 2) abort();
    rate = strtoull(one_in, NULL, 10);
    first = strtoull(first_calls, NULL, 10);
    listener_port = atoi(port);
    atomic_store(&state, strtoull(seed, NULL, 10));
    int file = open(count, O_RDWR);
    void *page = file < 0 ? MAP_FAILED : mmap(NULL, 8, PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    if (page == MAP_FAILED) abort();
    injected = page;
    close(file);
    char *copy = strdup(list), *rest = copy, *entry;
    while ((entry = strsep(&rest, ",")) != NULL) {
        if (*entry == '\0') continue;
        char *fault = strchr(entry, '=');
        if (!fault) abort();
        *fault = '\0';
        add_fault(entry, fault + 1);
    }
    free(copy);
}

/* The SplitMix64 generator. */
static uint64_t next_random(void) {
    uint64_t z = atomic_fetch_add(&state, 0x9e3779b97f4a7c15u) + 0x9e3779b97f4a7c15u;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
    return z ^ (z >> 31);
}

static int draw(enum call call) {
    if (fault_count[call] == 0) return NO_FAULT;
    int is_among_first = atomic_fetch_add(&calls_made[call], 1) < first;
    if (!is_among_first && (rate == 0 || next_random() % rate != 0)) return NO_FAULT;
    atomic_fetch_add(injected, 1);
    return faults[call][next_random() % (uint64_t)fault_count[call]];
}

static int is_socket(int descriptor) {
    struct stat status;
    return fstat(descriptor, &status) == 0 && S_ISSOCK(status.st_mode);
}

static int is_local(int socket) {
    struct sockaddr address;
    socklen_t length = sizeof address;
    return getsockname(socket, &address, &length) == 0 && address.sa_family == AF_UNIX;
}

static int is_upstream(int socket) {
    struct sockaddr_in address;
    socklen_t length = sizeof address;
    return getsockname(socket, (struct sockaddr *)&address, &length) == 0 && address.sin_family == AF_INET &&
           ntohs(address.sin_port) != listener_port;
}


/* Returns an error from the enclosing function if the call is to fail; reduces `length` for a short transfer. */
#define INJECT(call, length)                      \
    do {                                          \
        int fault = draw(call);                   \
        if (fault == SHORT_TRANSFER) {            \
            if ((length) > 1) (length) = 1;       \
        } else if (fault != NO_FAULT) {           \
            errno = fault;                        \
            return -1;                            \
        }                                         \
    } while (0)

ssize_t recv(int socket, void *buffer, size_t length, int flags) {
    INJECT(RECV, length);
    if (is_upstream(socket)) INJECT(UPSTREAM_RECV, length);
    return REAL(recv)(socket, buffer, length, flags);
}

ssize_t send(int socket, const void *buffer, size_t length, int flags) {
    INJECT(SEND, length);
    if (is_upstream(socket)) INJECT(UPSTREAM_SEND, length);
    if (is_local(socket)) INJECT(LOCAL_SEND, length);
    return REAL(send)(socket, buffer, length, flags);
}

ssize_t read(int descriptor, void *buffer, size_t length) {
    if (is_socket(descriptor)) INJECT(RECV, length);
    return REAL(read)(descriptor, buffer, length);
}

ssize_t write(int descriptor, const void *buffer, size_t length) {
    if (is_socket(descriptor)) INJECT(SEND, length);
    if (is_local(descriptor)) INJECT(LOCAL_SEND, length);
    return REAL(write)(descriptor, buffer, length);
}

int accept4(int socket, struct sockaddr *address, socklen_t *address_length, int flags) {
    size_t unused = 0;
    INJECT(ACCEPT, unused);
    return REAL(accept4)(socket, address, address_length, flags);
}

int socket(int domain, int type, int protocol) {
    size_t unused = 0;
    INJECT(SOCKET, unused);
    return REAL(socket)(domain, type, protocol);
}

int bind(int socket, const struct sockaddr *address, socklen_t length) {
    size_t unused = 0;
    INJECT(BIND, unused);
    return REAL(bind)(socket, address, length);
}

int listen(int socket, int backlog) {
    size_t unused = 0;
    INJECT(LISTEN, unused);
    return REAL(listen)(socket, backlog);
}

int clock_gettime(clockid_t clock, struct timespec *time) {
    int result = REAL(clock_gettime)(clock, time);
    if (result == 0 && clock == CLOCK_REALTIME) {
        time->tv_sec += atomic_exchange(&is_clock_read, 1) ? later_clock_offset : first_clock_offset;
    }
    return result;
}
