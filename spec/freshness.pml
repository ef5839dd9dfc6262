/*
 * Freshness lease (docs/design/freshness-lease.md): when a node may take keys by its routing version.
 *
 * Version 1 has a key that version 2 takes away. The store acknowledges version 2 at some time, may go back to version 1
 * once after that, and then gets version 2 again in less than ERA_WAIT. Node 0 reads the rows and polls the feed. Node 1 reaches
 * only node 0 and asks it for its proof. It gets versions later than proofs. Both restart and take keys. A request or answer
 * may take any time or never arrive, and a node may stand still at any step.
 *
 * Time is a common counter. Nodes use it only as their own boot clock: a message carries an age, never a time.
 *
 * Property: no node takes the key more than REVOKE after version 2 was acknowledged.
 *
 * Each of these switches removes one guard and must lead to a violation:
 *   PROOF_AT_END     a read proves the time of its end
 *   POLL_IS_DIRECT   a poll of the feed proves the time of its start
 *   NO_TRANSIT       the age of a passed proof counts from its arrival
 *   NO_AGE           a passed proof counts as new when the question was sent
 *   LEASE_AT_START   a process starts with a lease
 *   ANY_VERSION      a proof counts for versions older than the proven one
 *   NO_ERA_WAIT      reads are proofs at once after the store has gone back
 * REACH_PASSED, REACH_OLD and REACH_ERA assert that a part of the model is never reached. Their runs must fail.
 */

#define NODES 2
#define REVOKE 2                      /* ticks */
#define FEED_LAG 1
#define ERA_WAIT 1
#define START 2                       /* no time is negative */
#define END 6
#define NONE 255

byte now = START;

/* The store. */
byte version = 1;
bool acknowledged = false, wentBack = false;
byte acknowledgedAt, wentBackAt;
byte era = 0;

/* Memory of the processes. */
byte current[NODES];                  /* routing version */
byte learned[NODES];                  /* version that was heard of and has not arrived yet */
byte seenEra[NODES], validFrom[NODES];
byte proof1[NODES], proof2[NODES];    /* time of the newest proof of each version, or NONE */
bool passed[NODES];                   /* the node has a proof that the other one passed on */

/* The question of each node that is on its way. */
mtype = { idle, reading, read, polling, polled, asking, answered };
mtype step[NODES];
byte began[NODES], gotVersion[NODES], gotEra[NODES], gotAge[NODES];

#define newer(at, than) ((than) == NONE || (at) > (than))
#define valid(at) ((at) != NONE && now <= (at) + REVOKE)
#ifdef ANY_VERSION
#define usable2(n) true
#else
#define usable2(n) (current[n] >= 2)
#endif
#define leased(n) (valid(proof1[n]) || usable2(n) && valid(proof2[n]))

/* prove: node n adds a proof. */
inline prove(n, v, at) {
	if
	:: v == 1 && newer(at, proof1[n]) -> proof1[n] = at
	:: v == 2 && newer(at, proof2[n]) -> proof2[n] = at
	:: else
	fi
}

inline see(n) {
	if
	:: gotEra[n] != seenEra[n] -> seenEra[n] = gotEra[n]; validFrom[n] = now + ERA_WAIT
	:: else
	fi
}

inline proveRead(n, at) {
	see(n);
	current[n] = (gotVersion[n] > current[n] -> gotVersion[n] : current[n]);
#ifdef NO_ERA_WAIT
	prove(n, gotVersion[n], at);
#else
	if
	:: at >= validFrom[n] -> prove(n, gotVersion[n], at)
	:: else
	fi;
#endif
}

inline done(n) { step[n] = idle; began[n] = 0; gotVersion[n] = 0; gotEra[n] = 0; gotAge[n] = 0 }

/* A proof that is too old is forgotten, which makes fewer states. */
#define expire(at) at = (valid(at) -> at : NONE)

proctype Clock() {
end:	do
	:: atomic { now < END && !(wentBack && version == 1 && now + 1 == wentBackAt + ERA_WAIT) -> now++;
		expire(proof1[0]); expire(proof2[0]); expire(proof1[1]); expire(proof2[1]) }
	od
}

proctype Operators() {
	atomic { version = 2; acknowledged = true; acknowledgedAt = now };
	if
	:: atomic { now < END - ERA_WAIT -> version = 1; era = 1; wentBack = true; wentBackAt = now };
		version = 2
	:: true
	fi
}

proctype Node(byte n) {
	byte other = 1 - n, at = 0;
end:	do
	:: atomic { n == 0 && step[n] == idle -> step[n] = reading; began[n] = now }
	:: atomic { step[n] == reading -> step[n] = read; gotVersion[n] = version; gotEra[n] = era }
	:: atomic { step[n] == read ->
#ifdef PROOF_AT_END
		proveRead(n, now);
#else
		proveRead(n, began[n]);
#endif
		done(n) }

	:: atomic { n == 0 && step[n] == idle -> step[n] = polling; began[n] = now }
	:: atomic { step[n] == polling ->
		step[n] = polled; gotEra[n] = era; gotVersion[n] = version;
		if
		:: version == 2 && !wentBack && now - acknowledgedAt <= FEED_LAG -> gotVersion[n] = 1 /* the feed is late */
		:: true
		fi }
	:: atomic { step[n] == polled ->
#ifdef POLL_IS_DIRECT
		proveRead(n, began[n]);
#else
		proveRead(n, began[n] - FEED_LAG);
#endif
		done(n) }

	:: atomic { n == 1 && step[n] == idle -> step[n] = asking; began[n] = now }
	:: atomic { step[n] == asking -> /* the other node answers with its newest usable proof */
		at = proof1[other];
		if
		:: current[other] == 2 && proof2[other] != NONE && newer(proof2[other], at) -> at = proof2[other]
		:: else
		fi;
		if
		:: at == NONE -> done(n)
		:: else -> step[n] = answered; gotVersion[n] = current[other]; gotAge[n] = now - at
		fi;
		at = 0 }
	:: atomic { step[n] == answered ->
		learned[n] = (gotVersion[n] > current[n] -> gotVersion[n] : 0);
#ifdef NO_TRANSIT
		at = now - gotAge[n];
#else
#ifdef NO_AGE
		at = began[n];
#else
		at = (began[n] > gotAge[n] -> began[n] - gotAge[n] : 0);
#endif
#endif
		prove(n, gotVersion[n], at);
#ifdef REACH_PASSED
		passed[n] = true;
#endif
		at = 0; done(n) }

	:: atomic { step[n] != idle -> done(n) } /* lost */
	:: atomic { learned[n] > current[n] -> current[n] = learned[n]; learned[n] = 0 }

	:: atomic { current[n] != 0 -> /* restart */
		current[n] = 0; learned[n] = 0; seenEra[n] = 0; validFrom[n] = 0; passed[n] = false; done(n);
#ifdef LEASE_AT_START
		proof1[n] = now;
#else
		proof1[n] = NONE;
#endif
		proof2[n] = NONE }
	:: atomic { current[n] == 0 -> current[n] = 1 } /* a version from another node that has not heard more */

	:: atomic { current[n] == 1 && leased(n) -> /* take the key */
		assert(!acknowledged || now - acknowledgedAt <= REVOKE);
#ifdef REACH_PASSED
		assert(!passed[n]);
#endif
#ifdef REACH_OLD
		assert(!acknowledged || now - acknowledgedAt < REVOKE);
#endif
		skip }
#ifdef REACH_ERA
	:: atomic { era == 1 && current[n] == 2 && usable2(n) && proof2[n] != NONE && proof2[n] >= wentBackAt + ERA_WAIT && wentBack ->
		assert(false) }
#endif
	od
}

init {
	atomic {
		proof1[0] = NONE; proof2[0] = NONE; proof1[1] = NONE; proof2[1] = NONE;
		step[0] = idle; step[1] = idle;
		run Clock(); run Operators(); run Node(0); run Node(1)
	}
}
