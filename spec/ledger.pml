/*
 * Idempotency ledger (design 4.4): one key, one range, several calls with that key at different entry nodes.
 *
 * A holder writes each entry (claim, complete, release) as a row (epoch, sequence) under the condition that the epoch
 * of the range row is its own. The row with the highest (epoch, sequence) decides, so the store keeps only that row and,
 * for each call, whether its claim was ever applied. A write may be applied with its answer lost, or be applied later,
 * or never. Any process may pause at any step; messages to holders and servers may be lost, and a caller may repeat its
 * call at another entry node at any time. A holder takes a message, writes the row and answers in one step: a pause
 * in between cannot be told from a message that waits or an answer that is late.
 *
 * Each guard of the protocol is removed by a switch, which must lead to a violation:
 *   NO_EPOCH_CONDITION    rows are written without the condition on the epoch
 *   ARRIVAL_ORDER         the row that was applied last decides, not the one with the highest (epoch, sequence)
 *   READ_BEFORE_RAISE     a take-over reads the rows before it raises the epoch
 *   ATTEMPT_BEFORE_CLAIM  a claim is granted before its row is durable
 *   GRANT_ON_UNKNOWN      a claim whose row was not found after a lost answer is granted
 *   RELEASE_UNPROVEN      a claim is released although an attempt has an unknown outcome
 *   RELEASE_ANY_CALL      a release is not bound to the call that made the claim
 *   REGRANT_EXPIRED       a claim past its deadline without outcome is granted again
 * RUNS_ONLY leaves out the two auxiliary assertions, so that a mutant must lead to a second run or a false answer.
 * STRICT_REPEAT demands that no answer not-run is given once any call with the key has run.
 * REACH_REPLAY, REACH_RERUN and REACH_FENCED claim that a part of the model is never reached.
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
mtype = { granted, busy, replay, refused };            /* answers of a holder */
mtype = { ran, rejected };                             /* answers of the server's node */

/* The store. */
byte epoch = 1;                       /* range row; holder 0 holds the first epoch */
byte lastEpoch = 0, lastSeq = 0;      /* the row that decides */
mtype lastKind = none;
byte lastCall = 0;
bool durable[CALLS + 1];              /* the claim row of a call was applied */

/* One write on its way that may still take effect. */
bool inFlight = false;
byte lateEpoch, lateSeq, lateCall;
mtype lateKind;
byte lateLeft = LATE;

/* What happened, for the properties. */
byte runs = 0;
bool didRun[CALLS + 1];
bool saidNotRun[CALLS + 1];

bool gone[CALLS + 1];                 /* the entry node of a call has answered or stopped */

chan toHolder[2] = [1] of { mtype, byte };
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
		/* A released key has not run: found with fewer calls than the second run that would follow. */
		assert(lastKind != release || runs == 0)
#endif
	:: else -> ok = false
	fi
}

/* The store applies or drops the write on its way at any time. */
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

/* write puts the next row of the holder and sets result. */
inline write(k, c) {
	seq++;
	if
	:: applyRow(my, seq, k, c, ok);
		if
		:: ok -> result = written
		:: ok -> result = unknown                       /* applied, the answer is lost */
		:: !ok -> result = failed
		fi
	:: !inFlight && lateLeft > 0 ->                         /* not applied yet, the answer is lost */
		inFlight = true; lateLeft--;
		lateEpoch = my; lateSeq = seq; lateKind = k; lateCall = c;
		result = unknown
	:: seq--; result = down
	fi;
	ok = false
}

inline answer(c, a, whose) {
	if
	:: !gone[c] && nfull(fromHolder[c]) -> fromHolder[c]!a(whose)
	:: else
	fi
}

inline stepDown() { my = 0; seq = 0; heldKind = none; heldCall = 0 }

/* A node that holds the range in its view of the members, and may be wrong. */
proctype Holder(byte h; byte my) {
	byte seq = 0, call = 0, heldCall = 0;
	mtype kind = none, result = none, heldKind = none;
	bool ok = false, reading = false;

end:	do
	/* Take over: raise the epoch by a conditional write, then read all rows. */
	:: atomic { my == 0 && !reading && epoch < EPOCHS ->
#ifdef READ_BEFORE_RAISE
		heldKind = lastKind; heldCall = lastCall; reading = true }
	:: atomic { reading ->
		reading = false;
		if
		:: epoch < EPOCHS -> epoch++; my = epoch
		:: else -> stepDown()
		fi }
#else
		epoch++;
		if
		:: my = epoch; reading = true
		:: true                                         /* the answer is lost: give the epoch up */
		fi }
	:: atomic { reading -> heldKind = lastKind; heldCall = lastCall; reading = false }
#endif

	/* Not holding: refuse claims, lose the rest. */
	:: atomic { my == 0 && nempty(toHolder[h]) ->
		toHolder[h]?kind(call);
		if
		:: kind == claim -> answer(call, refused, 0)
		:: else
		fi;
		kind = none; call = 0 }

	:: atomic { my != 0 && !reading && result == none && nempty(toHolder[h]) ->
		toHolder[h]?kind(call);
		if
		:: kind == claim && (heldKind == none || heldKind == release) ->
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
			:: result == written -> heldKind = claim; heldCall = call; answer(call, granted, 0)
			:: result == failed ->
#ifdef REACH_FENCED
				assert(false);
#endif
				stepDown(); answer(call, refused, 0)
			:: result == down -> answer(call, refused, 0)
			:: result == unknown -> goto readBack
			fi
#ifdef REGRANT_EXPIRED
		:: kind == claim && heldKind == claim ->
			write(claim, call);
			if
			:: result == written -> heldCall = call; answer(call, granted, 0)
			:: else -> answer(call, refused, 0)
			fi
#endif
		:: kind == claim && heldKind == claim -> answer(call, busy, 0)
		:: kind == claim && heldKind == done -> answer(call, replay, heldCall)
		:: kind == done && heldKind == claim && heldCall == call ->
			write(done, call);
			if
			:: result == written -> heldKind = done
			:: result == failed -> stepDown()
			:: else
			fi
#ifdef RELEASE_ANY_CALL
		:: kind == release && heldKind == claim ->
#else
		:: kind == release && heldKind == claim && heldCall == call ->
#endif
			write(release, call);
			if
			:: result == written -> heldKind = release
			:: result == failed -> stepDown()
			/* The release may come late, so the key stays claimed in the view of this holder. */
			:: else
			fi
		:: else
		fi;
		kind = none; call = 0; result = none }
	od;

/* The answer to a claim row was lost: read the row back by its id. */
readBack:
	atomic {
		if
		:: durable[call] -> heldKind = claim; heldCall = call; answer(call, granted, 0)
		/* The row may still come, but every later row of this epoch outranks it. */
		:: !durable[call] -> answer(call, refused, 0)
		:: answer(call, refused, 0)                     /* the read fails */
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
			assert(!saidNotRun[call]);              /* an answer not-run stays true */
#ifdef REACH_RERUN
			assert(call == 1 || !saidNotRun[1]);
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

/* tell sends a message to either node that may hold the range; it may be lost. */
inline tell(k) {
	if
	:: nfull(toHolder[0]) -> toHolder[0]!k(call)
	:: nfull(toHolder[1]) -> toHolder[1]!k(call)
	:: true
	fi
}

inline answerNotRun() {
	assert(!didRun[call]);
#ifdef STRICT_REPEAT
	assert(runs == 0);
#endif
	saidNotRun[call] = true
}

/* One call at its entry node. It may crash wherever it may time out. */
proctype Entry(byte call) {
	mtype reply = none;
	byte whose = 0, attempts = 0;

	tell(claim);
	if
	:: fromHolder[call]?reply(whose)
	:: reply = none                                         /* no answer in time */
	fi;
	if
	:: reply == none || reply == refused ->
		atomic {
			answerNotRun();
			if
			:: reply == none -> tell(release)
			:: else
			fi
		};
		goto finished
	:: reply == busy -> goto finished                       /* answered unknown */
	:: reply == replay ->
		assert(didRun[whose] && runs == 1);                /* the recorded answer is that of the run */
#ifdef REACH_REPLAY
		assert(false);
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
		:: reply = none                                 /* unknown, or this node stops here */
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
		atomic { answerNotRun(); tell(release) };
		tell(release);                                  /* repeated, because the first may be lost */
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
		reply = none; whose = 0; attempts = 0
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
