#ifndef PROTO_H
#define PROTO_H

/*
 * Kinds of messages between our own processes; the first field of each. The
 * fields that follow are packed by the module that the block is named for.
 */
enum proto_kind {
	/* cnv: between voters (consensus) */
	PROTO_CNS = 1,
	/*
	 * voter to voter, on coming up: [kind, node, folder, lineage of its
	 * state or 0, address for clients]
	 */
	PROTO_VOTER,
	/* client to voter: [kind, request no, command bytes] */
	PROTO_SUBMIT = 10,
	/* client to voter: [kind, request no, query name, argument] */
	PROTO_QUERY,
	/*
	 * voter to client: [kind, request no, code of enum proto_result,
	 * bytes, address of the leader or ""]
	 */
	PROTO_RESULT,
	/*
	 * entry daemon to voter: [kind, node, zone, version worked by]; sent
	 * on coming up and whenever the version worked by changes
	 */
	PROTO_FOLLOW = 20,
	/* voter to entry daemon: [kind, version, config view bytes] */
	PROTO_CONFIG,
	/* entry daemon to entry daemon; see ent and idn */
	PROTO_TARGETS = 30,
	PROTO_ROOM,
	PROTO_KEY = 40,
	/* rep: replica to replica: [kind, folder, node, address] */
	PROTO_REPLICA = 50,
	/* rep: replica to anybody: [kind, leader's address, [addresses]] */
	PROTO_LEADER,
	/* gat to hub: [kind, call no, method, host, path, body, credentials] */
	PROTO_CALL = 60,
	/* hub to gat: [kind, call no, status, retry after s, type, body] */
	PROTO_ANSWER,
	/* rly: leader to replica: [kind, term, the replica's clock ms, calls] */
	PROTO_CARRY = 70,
	/* rly: replica to leader: [kind, clock ms, [[no, end, status, body]...]] */
	PROTO_CARRIED,
};

/* How a command or query ended, as far as the voter can tell. */
enum proto_result {
	PROTO_OK,
	PROTO_REFUSED, /* not done, and never will be */
	PROTO_CONFLICT, /* not done: somebody changed it meanwhile */
	PROTO_NOT_LEADER, /* not done here; address of the leader if known */
	PROTO_NO_QUORUM, /* not done: no majority to be reached now */
	PROTO_OUTCOME_UNKNOWN, /* may be done yet: ask for its status */
	PROTO_FORBIDDEN, /* the key's role is not enough */
};

#endif
