/*
 * Messages between entries and agents (WIRE_AGENT_PROG) and between entries
 * (WIRE_PEER_PROG).  Times are milliseconds unless the name says otherwise.
 */

const WIRE_NAME_MAX = 128;
const WIRE_ADDRESS_MAX = 256;
const WIRE_KEY_MAX = 128;
const WIRE_DOCUMENT_MAX = 1048576;
const WIRE_PAYLOAD_MAX = 1048576;
const WIRE_BATCH_MAX = 4096;
const WIRE_MEMBERS_MAX = 256;
const WIRE_SERVICES_MAX = 64;
const WIRE_HEADERS_MAX = 64;
const WIRE_TRACE_MAX = 64;

typedef string wire_name<WIRE_NAME_MAX>;
typedef string wire_address<WIRE_ADDRESS_MAX>;
typedef opaque wire_payload<WIRE_PAYLOAD_MAX>;

/* Load of one agent when the message was sent. */
struct wire_load {
	uint32_t slots;
	uint32_t busy;
	uint32_t queued;
	bool draining;
	uint64_t received_seq;		/* highest start seq from this entry */
};

struct wire_member {
	uint64_t incarnation;
	wire_name name;
	wire_name failure_domain;
	wire_address address;
};

/* The configuration held by an entry. */
struct wire_config {
	uint64_t config_version;
	int64_t age_ms;		/* since confirmed as the newest; -1: never */
	opaque document<WIRE_DOCUMENT_MAX>;	/* empty: receiver has it */
};

struct wire_hello_args {
	string key<WIRE_KEY_MAX>;
	uint64_t incarnation;		/* of the agent */
	wire_name worker;
	wire_name failure_domain;
	wire_name region;
	wire_name rack;
	wire_name service;		/* empty: no endpoint announced */
	uint32_t slots;
	uint32_t connections;
	uint32_t cores;
	uint64_t memory_mb;
	uint64_t config_version;		/* held by the agent */
	int64_t sent_ns;		/* agent's clock, returned as echo_ns */
	wire_load load;
};

struct wire_hello_result {
	bool accepted;
	wire_name reason;		/* empty when accepted */
	wire_member entry;
	int64_t echo_ns;
	wire_config config;
	wire_member members<WIRE_MEMBERS_MAX>;
};

struct wire_heartbeat_args {
	int64_t sent_ns;
	uint64_t config_version;
	uint64_t members_digest;
	wire_load load;
	wire_name service;		/* empty: no endpoint announced */
	uint32_t slots;
	uint32_t connections;
	uint32_t cores;
	uint64_t memory_mb;
};

struct wire_heartbeat_result {
	int64_t echo_ns;
	uint64_t acked_result;	/* results up to this number were received */
	wire_config config;
	uint64_t members_digest;
	wire_member members<WIRE_MEMBERS_MAX>;	/* empty: digest unchanged */
};

struct wire_header {
	string name<WIRE_NAME_MAX>;
	string value<4096>;
};

struct wire_start {
	uint64_t seq;			/* unique per entry incarnation */
	wire_name task_id;		/* "<job id>/<index>" */
	wire_name service;
	int64_t deadline_ms;		/* time left until the answer is due */
	string method<16>;		/* empty: POST to /tasks */
	string path<4096>;
	wire_header headers<WIRE_HEADERS_MAX>;
	wire_payload payload;
	string traceparent<WIRE_TRACE_MAX>;
};

struct wire_start_args {
	uint64_t acked_result;
	wire_start starts<WIRE_BATCH_MAX>;
};

enum wire_outcome {
	WIRE_DONE = 0,			/* endpoint answered */
	WIRE_NOT_STARTED = 1,		/* certainly not started */
	WIRE_UNKNOWN = 2		/* sent, but no complete answer */
};

enum wire_reason {
	WIRE_REASON_NONE = 0,
	WIRE_REASON_STALE = 1,	/* configuration not confirmed recently */
	WIRE_REASON_OUT = 2,	/* domain, worker or service out of service */
	WIRE_REASON_DRAINING = 3,
	WIRE_REASON_DEADLINE = 4,
	WIRE_REASON_WITHDRAWN = 5,
	WIRE_REASON_SEALED = 6,		/* see wire_query_args */
	WIRE_REASON_QUEUE_FULL = 7,
	WIRE_REASON_NO_ENDPOINT = 8,
	WIRE_REASON_CONNECT = 9,	/* no connection to the endpoint */
	WIRE_REASON_BROKEN = 10,	/* connection broke after sending */
	WIRE_REASON_TOO_LARGE = 11	/* answer over the limit */
};

struct wire_result {
	uint64_t seq;
	wire_outcome outcome;
	wire_reason reason;
	uint32_t status;		/* HTTP status of the endpoint */
	uint32_t run_us;		/* time at the endpoint */
	uint32_t queued_us;		/* time in the agent's queue */
	wire_header headers<WIRE_HEADERS_MAX>;
	wire_payload body;
};

struct wire_results_args {
	uint64_t first_result;		/* number of the first; consecutive */
	wire_load load;
	wire_result results<WIRE_BATCH_MAX>;
};

struct wire_withdraw_args {
	uint64_t seqs<WIRE_BATCH_MAX>;
};

enum wire_state {
	WIRE_STATE_UNSEEN = 0,		/* not received, and sealed */
	WIRE_STATE_QUEUED = 1,
	WIRE_STATE_RUNNING = 2,
	WIRE_STATE_DONE = 3		/* its result is sent again */
};

/*
 * Asks for the state of starts after a reconnection.  The agent seals every
 * lower seq that it has not received: a START with it is refused from then on.
 */
struct wire_query_args {
	uint64_t next_seq;		/* unreceived seqs below are sealed */
	uint64_t acked_result;
	uint64_t seqs<WIRE_BATCH_MAX>;
};

struct wire_query_result {
	wire_state states<WIRE_BATCH_MAX>;	/* in the order of seqs */
};

struct wire_peer_hello_args {
	string key<WIRE_KEY_MAX>;
	wire_member entry;
};

struct wire_peer_hello_result {
	bool accepted;
	wire_member entry;
};

struct wire_peer_status_args {
	uint64_t config_version;		/* held by the caller */
};

struct wire_peer_status_result {
	uint64_t incarnation;
	bool may_vote;		/* whether it counts as a voter */
	int64_t store_age_ms;	/* since its last store read; -1: never */
	wire_config config;	/* age since confirmed by store or quorum */
};

/* A caller's request about a job, forwarded to its owner. */
struct wire_peer_job_args {
	string method<16>;
	wire_name job_id;
	wire_name team;
	int64_t wait_ms;
	opaque body<4194304>;
	string traceparent<WIRE_TRACE_MAX>;
};

struct wire_peer_job_result {
	uint32_t status;
	opaque body<4194304>;
};

program WIRE_AGENT_PROG {
	version WIRE_AGENT_V1 {
		void WIRE_NULL(void) = 0;
		wire_hello_result WIRE_HELLO(wire_hello_args) = 1;
		wire_heartbeat_result WIRE_HEARTBEAT(wire_heartbeat_args) = 2;
		void WIRE_START(wire_start_args) = 3;
		void WIRE_RESULTS(wire_results_args) = 4;
		void WIRE_WITHDRAW(wire_withdraw_args) = 5;
		wire_query_result WIRE_QUERY(wire_query_args) = 6;
	} = 1;
} = 0x20005350;

program WIRE_PEER_PROG {
	version WIRE_PEER_V1 {
		void WIRE_PEER_NULL(void) = 0;
		wire_peer_hello_result WIRE_PEER_HELLO(wire_peer_hello_args) = 1;
		wire_peer_status_result
		    WIRE_PEER_STATUS(wire_peer_status_args) = 2;
		wire_peer_job_result WIRE_PEER_JOB(wire_peer_job_args) = 3;
	} = 1;
} = 0x20005351;
