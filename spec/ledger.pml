/*
 * Idempotency ledger (design 4.4): one key, one range, several calls with that key at different entry nodes.
 *
 * A holder writes each entry (claim, complete, release) as a row (epoch, sequence) on condition that the range row still
 * has the holder's epoch. The row with the highest (epoch, sequence) is the current one, so the store keeps only that row
 * and, for each call, whether its claim was ever applied. A write may be applied although its answer is lost, be applied
 * later, or never be applied. Any process may pause at any step. Messages to holders and servers may be lost, and a caller
 * may repeat its call at another entry node at any time. A holder receives a message, writes the row and answers in one
 * step, because a pause in between is equivalent to a queued message or a late answer. The store may be down for one
 * process and up for another.
 *
 * A call whose claim is not granted does not run. The answer to its caller about the key depends on the state of the
 * holder:
 *   not-run   the holder cannot write the claim, and its index has no claim and no outcome of another call
 *   ran       its index has the outcome of another call; the answer includes the recorded one if that can be read
 *   unknown   its index has the claim of another call, or no node that holds the range answered
 *
 * Properties: at most one call with the key runs; a call that was reported as not run never runs; ran is reported only
 * after a run; not-run is not reported if a call with the key had run before this one sent its claim.
 *
 * The last property has one exception in this model. A holder is stale from the time at which another node raises the
 * epoch until a write of its own fails. While it cannot reach the store, its index lacks the calls of the later epoch. The
 * shortest trace that Spin finds with STRICT_STALE: holder 0 has epoch 1 and an empty index; holder 1 raises the epoch to 2
 * and grants a call, which runs; the next call sends its claim to holder 0, whose write gets no answer from the store;
 * holder 0 refuses, and the caller receives not-run. FRESH_REFUSAL adds the rule that a stale holder answers unknown
 * instead; with it, the property holds without the exception.
 *
 * For this rule, the model reads the epoch, which a holder without the store cannot do. spec/evidence.pml checks the rule
 * that holders follow instead.
 *
 * Each of these switches removes one guard of the protocol and must lead to a violation:
 *   NO_EPOCH_CONDITION    rows are written without the condition on the epoch
 *   ARRIVAL_ORDER         the row that was applied last is the current one, not that with the highest (epoch, sequence)
 *   READ_BEFORE_RAISE     a take-over reads the rows before it raises the epoch
 *   ATTEMPT_BEFORE_CLAIM  a claim is granted before its row is durable
 *   GRANT_ON_UNKNOWN      a claim whose row was not found after a lost answer is granted
 *   RELEASE_UNPROVEN      a claim is released although an attempt has an unknown outcome
 *   RELEASE_ANY_CALL      a release is not bound to the call that made the claim
 *   REGRANT_EXPIRED       a claim past its deadline without outcome is granted again
 *   REFUSE_CLAIMED        a holder without the store refuses as not-run although another call claimed the key
 *   REFUSE_COMPLETED      a holder without the store refuses as not-run although another call completed the key
 *   REFUSE_NOT_HOLDING    a node that does not hold the range, or has not read its rows, refuses as not-run
 *   NOT_RUN_UNANSWERED    a caller receives not-run although no holder answered
 *   RAN_IF_CLAIMED        a caller receives ran although another call has only claimed the key
 * RUNS_ONLY omits the auxiliary assertions, so that a mutant must lead to a second run or a false answer. ARRIVAL_ORDER and
 * RELEASE_ANY_CALL need -DCALLS=3 for that: a key that ran is released, and the third call runs again.
 * STRICT_STALE removes the exception for stale holders. STRICT_CONCURRENT requires that not-run is not reported once any
 * call with the key has run, even one that ran after this call sent its claim. No rule for refusals can guarantee this.
 * REACH_REPLAY, REACH_RAN, REACH_REFUSED, REACH_RERUN and REACH_FENCED assert that a part of the model is never reached.
 * Their runs must fail.
 */

#ifndef CALLS
#define CALLS 2
#endif
#ifndef EPOCHS
#define EPOCHS 3      /* highest epoch */
#endif
#ifndef LATE
#define LATE 1        /* writes that may take effect late */
#endif
#define ATTEMPTS 2    /* attempts of one call */

mtype = { none, claim, done, release };                /* kinds of rows and messages to a holder */
/* Answers of a holder: refused means not-run, busy a claim of another call, notHolder that the node has no information. */
mtype = { granted, busy, replay, ranUnreadable, refused, notHolder };
mtype = { ran, rejected };                             /* answers of the server's node */

/* The store. */
byte epoch = 1;                       /* range row; holder 0 holds the first epoch */
byte lastEpoch = 0, lastSeq = 0;      /* the current row */
mtype lastKind = none;
byte lastCall = 0;
bool durable[CALLS + 1];              /* the claim row of a call was applied */

/* One write in transit that may still be applied. */
bool inFlight = false;
byte lateEpoch, lateSeq, lateCall;
mtype lateKind;
byte lateLeft = LATE;

/* History for the properties. */
byte runs = 0;
bool didRun[CALLS + 1];
bool toldNotStarted[CALLS + 1];       /* the caller was informed that this call did not run */

bool gone[CALLS + 1];                 /* the entry node of a call has answered or stopped */

chan toHolder[2] = [1] of { mtype, byte };                  /* kind and call */
/* The second field is the call whose outcome is replayed or, with refused, whether the holder was stale. */
chan fromHolder[CALLS + 1] = [1] of { mtype, byte };
chan toServer = [CALLS] of { byte };
chan fromServer[CALLS + 1] = [1] of { mtype };

#ifdef NO_EPOCH_CONDITION
#define MAY_WRITE(e) (true)
#else
#define MAY_WRITE(e) ((e) == epoch)
#endif

/* applyRow applies a row if its condition holds. */
inline applyRow(e, s, k, c, ok) {
	if
	:: MAY_WRITE(e) ->
		ok = true;
		if
#ifdef ARRIVAL_ORDER
		:: true ->
#else
		:: (e > lastEpoch || (e == lastEpoch && s > lastSeq)) ->
#endif
			lastEpoch = e; lastSeq = s; lastKind = k; lastCall = c
#ifndef ARRIVAL_ORDER
		:: else
#endif
		fi;
		if
		:: k == claim -> durable[c] = true
		:: else
		fi
#ifndef RUNS_ONLY
		;
		/* A released key has not run. This finds a fault with fewer calls than the second run that would follow. */
		assert(lastKind != release || runs == 0)
#endif
	:: else -> ok = false
	fi
}

/* The store applies or drops the write in transit at any time. */
active proctype Later() {
	bool ok;
end:	do
	:: atomic { inFlight ->
		inFlight = false;
		if
		:: applyRow(lateEpoch, lateSeq, lateKind, lateCall, ok)
		:: true
		fi;
		ok = false; lateEpoch = 0; lateSeq = 0; lateCall = 0; lateKind = none
	}
	od
}

mtype = { written, failed, unknown, down };

/* write writes the next row of the holder and sets result. */
inline write(k, c) {
	seq++;
	if
	:: applyRow(ownEpoch, seq, k, c, ok);
		if
		:: ok -> result = written
		:: ok -> result = unknown                       /* applied, the answer is lost */
		:: !ok -> result = failed
		fi
	:: !inFlight && lateLeft > 0 ->                         /* not applied yet, the answer is lost */
		inFlight = true; lateLeft--;
		lateEpoch = ownEpoch; lateSeq = seq; lateKind = k; lateCall = c;
		result = unknown
	:: seq--; result = down
	fi;
	ok = false
}

inline answer(c, a, detail) {
	if
	:: !gone[c] && nfull(fromHolder[c]) -> fromHolder[c]!a(detail)
	:: else
	fi
}

#define STALE (ownEpoch != epoch)

/* refuse answers a claim that could not be written; the index has no claim and no outcome of another call. */
inline refuse(c) {
#ifdef FRESH_REFUSAL
	if
	:: STALE -> answer(c, notHolder, 0)
	:: else -> answer(c, refused, 0)
	fi
#else
	answer(c, refused, STALE)
#endif
#ifndef RUNS_ONLY
	;
	assert(STALE || runs == 0)      /* true now; another call may run before the caller gets the answer */
#endif
}

/* keepOrForget models both cases: the claim stays in the index to be written later, or was refused before it was added. */
inline keepOrForget(c) {
	if
	:: indexKind = claim; indexCall = c
	:: true
	fi
}

inline stepDown() { ownEpoch = 0; seq = 0; indexKind = none; indexCall = 0 }

/*
 * A node that holds the range according to its own view of the members, which may be wrong. Its epoch is 0 while it does
 * not hold the range. Its index has the last row of the key that it read or wrote: the kind of the row and its call.
 */
proctype Holder(byte h; byte ownEpoch) {
	byte seq = 0, call = 0, indexCall = 0;
	mtype kind = none, result = none, indexKind = none;
	bool ok = false, reading = false;

end:	do
	/* Take-over: raise the epoch by a conditional write, then read all rows. */
	:: atomic { ownEpoch == 0 && !reading && epoch < EPOCHS ->
#ifdef READ_BEFORE_RAISE
		indexKind = lastKind; indexCall = lastCall; reading = true }
	:: atomic { reading ->
		reading = false;
		if
		:: epoch < EPOCHS -> epoch++; ownEpoch = epoch
		:: else -> stepDown()
		fi }
#else
		epoch++;
		if
		:: ownEpoch = epoch; reading = true
		:: true                                         /* the answer is lost: abandon the epoch */
		fi }
	:: atomic { reading -> indexKind = lastKind; indexCall = lastCall; reading = false }
#endif

	/* Not holding the range, or not ready: answer claims with notHolder, drop other messages. */
	:: atomic { (ownEpoch == 0 || reading) && nempty(toHolder[h]) ->
		toHolder[h]?kind(call);
		if
#ifdef REFUSE_NOT_HOLDING
		:: kind == claim -> answer(call, refused, 0)
#else
		:: kind == claim -> answer(call, notHolder, 0)
#endif
		:: else
		fi;
		kind = none; call = 0 }

	:: atomic { ownEpoch != 0 && !reading && result == none && nempty(toHolder[h]) ->
		toHolder[h]?kind(call);
		if
		:: kind == claim && (indexKind == none || indexKind == release) ->
#ifdef ATTEMPT_BEFORE_CLAIM
			answer(call, granted, 0);
#endif
			write(claim, call);
#ifdef GRANT_ON_UNKNOWN
			if
			:: result == unknown -> result = written
			:: else
			fi;
#endif
			if
			:: result == written -> indexKind = claim; indexCall = call; answer(call, granted, 0)
			:: result == failed ->
#ifdef REACH_FENCED
				assert(false);
#endif
				stepDown(); answer(call, notHolder, 0)
			:: result == down -> refuse(call); keepOrForget(call)
			:: result == unknown -> goto readBack
			fi
#ifdef REGRANT_EXPIRED
		:: kind == claim && indexKind == claim ->
			write(claim, call);
			if
			:: result == written -> indexCall = call; answer(call, granted, 0)
			:: else -> answer(call, notHolder, 0)
			fi
#endif
#ifdef REFUSE_CLAIMED
		:: kind == claim && indexKind == claim -> answer(call, refused, STALE)
#endif
#ifdef REFUSE_COMPLETED
		:: kind == claim && indexKind == done -> answer(call, refused, STALE)
#endif
#ifdef RAN_IF_CLAIMED
		:: kind == claim && indexKind == claim -> answer(call, ranUnreadable, indexCall)
#endif
		:: kind == claim && indexKind == claim -> answer(call, busy, 0)
		:: kind == claim && indexKind == done -> answer(call, replay, indexCall)
		/* The store is down, or the outcome is not durable, or its answer was too large to keep. */
		:: kind == claim && indexKind == done -> answer(call, ranUnreadable, indexCall)
		:: kind == done && indexKind == claim && indexCall == call ->
			/* The index has the outcome at once. The row may be applied later or, if the range is lost, never. */
			write(done, call);
			if
			:: result == failed -> stepDown()
			:: else -> indexKind = done
			fi
#ifdef RELEASE_ANY_CALL
		:: kind == release && indexKind == claim ->
#else
		:: kind == release && indexKind == claim && indexCall == call ->
#endif
			write(release, call);
			/* A later claim may be granted before this row is applied, since its row has a higher sequence. */
			if
			:: result == failed -> stepDown()
			:: else -> indexKind = release
			fi
		:: else
		fi;
		kind = none; call = 0; result = none }
	od;

/* The answer to the write of a claim row was lost: write it again and, if the condition fails, read the row by its id. */
readBack:
	atomic {
		if
		:: durable[call] -> indexKind = claim; indexCall = call; answer(call, granted, 0)
		:: !durable[call] && !MAY_WRITE(ownEpoch) -> stepDown(); answer(call, notHolder, 0)
		/* No answer in time. The row may still be applied, but later rows of this epoch have higher sequences. */
		:: refuse(call); keepOrForget(call)
		fi;
		kind = none; call = 0; result = none;
		goto end
	}
}

/* The node beside the backend server. */
active proctype Server() {
	byte call;
end:	do
	:: atomic { toServer?call ->
		if
		:: runs++; didRun[call] = true;
			assert(runs <= 1);                      /* at most one run */
			assert(!toldNotStarted[call]);          /* a call that was reported as not run does not run */
#ifdef REACH_RERUN
			assert(call == 1 || !toldNotStarted[1]);
#endif
			if
			:: !gone[call] -> fromServer[call]!ran
			:: true                                 /* the answer is lost */
			fi
		:: !gone[call] -> fromServer[call]!rejected     /* before a byte was written to the backend */
		:: true                                         /* the attempt is lost */
		fi;
		call = 0
	}
	od
}

/* tell sends a message to one of the two nodes that may hold the range; it may be lost. */
inline tell(k) {
	if
	:: nfull(toHolder[0]) -> toHolder[0]!k(call)
	:: nfull(toHolder[1]) -> toHolder[1]!k(call)
	:: true
	fi
}

/* The caller is informed that this call did not run: with outcome unknown for the key, or as part of not-run. */
inline tellNotStarted() {
	assert(!didRun[call]);
	toldNotStarted[call] = true
}

/* The caller receives not-run. byStale is set if a stale holder refused. */
inline tellNotRun(byStale) {
#ifdef STRICT_STALE
	assert(!ranBefore);
#else
	assert(!ranBefore || byStale);
#endif
#ifdef STRICT_CONCURRENT
	assert(runs == 0 || byStale);
#endif
	tellNotStarted()
}

/* One call at its entry node. The node may crash wherever the call may time out. */
proctype Entry(byte call) {
	mtype reply = none;
	byte detail = 0, attempts = 0;
	bool ranBefore = false;                                 /* a call had run when this one sent its claim */

	atomic { ranBefore = (runs > 0); tell(claim) };
	if
	:: fromHolder[call]?reply(detail)
	:: reply = none                                         /* no answer in time */
	fi;
	if
	:: reply == refused ->
		atomic {
#ifdef REACH_REFUSED
			assert(false);
#endif
			tellNotRun(detail); tell(release)
		};
		goto finished
	:: reply == none || reply == notHolder ->               /* answered unknown */
		atomic {
#ifdef NOT_RUN_UNANSWERED
			tellNotRun(false);
#else
			tellNotStarted();
#endif
			tell(release)
		};
		goto finished
	:: reply == busy -> goto finished                       /* answered unknown */
	:: reply == replay || reply == ranUnreadable ->
		assert(didRun[detail] && runs == 1);               /* the answer is that of the run */
#ifdef REACH_REPLAY
		assert(reply != replay);
#endif
#ifdef REACH_RAN
		assert(reply != ranUnreadable);
#endif
		goto finished
	:: reply == granted
	fi;

	do
	:: attempts < ATTEMPTS ->
		attempts++;
		atomic {
#ifndef RUNS_ONLY
			assert(durable[call]);                  /* the claim is durable before the first attempt */
#endif
			toServer!call
		};
		if
		:: fromServer[call]?reply
		:: reply = none                                 /* unknown, or this node crashes */
		fi;
		if
		:: reply == ran -> tell(done); goto finished
		:: reply == rejected
		:: reply == none ->
#ifdef RELEASE_UNPROVEN
			tell(release);
#endif
			goto finished
		fi
	:: attempts > 0 ->                                      /* all attempts were refused */
		atomic { tellNotRun(false); tell(release) };
		tell(release);                                  /* sent again, because the first may be lost */
		goto finished
	od;
finished:
	atomic {
		gone[call] = true;
		do
		:: fromHolder[call]?_, _
		:: fromServer[call]?_
		:: empty(fromHolder[call]) && empty(fromServer[call]) -> break
		od;
		reply = none; detail = 0; attempts = 0; ranBefore = false
	}
}

init {
	byte i = 1;
	atomic {
		run Holder(0, 1); run Holder(1, 0);
		do
		:: i <= CALLS -> run Entry(i); i++
		:: else -> break
		od;
		i = 0
	}
}
