// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.Locale;
import java.util.Optional;
import org.oatlug.internal.limit.AdmissionQueue.QueuedRequest;
import org.oatlug.internal.limit.AdmissionQueue.Rejection;
import org.oatlug.internal.limit.Urgency;
import org.oatlug.internal.routing.RoomRule;

/**
 * The wait of one request that may wait: sends each of its attempts when an upstream has room, or
 * at the bound of the request.
 *
 * <p>Invariants: the request is queued at most once at a time; it leaves the queue when it ends; it
 * is refused for lack of room only while it was sent to no upstream, so that the response that a
 * cascade dropped for a larger model is never followed by such a refusal. Used from one event loop.
 */
final class RequestWait {
  private static final String NO_UPSTREAM = "queue.refused-no-upstream";

  private final RequestQueue queue;
  private final Exchange exchange;
  private final RequestQueue.Terms terms;
  private Optional<QueuedRequest> queued = Optional.empty();
  private Instant queuedAt = Instant.EPOCH;
  private int position;
  private boolean waitEnded;

  RequestWait(RequestQueue queue, Exchange exchange, RequestQueue.Terms terms) {
    this.queue = queue;
    this.exchange = exchange;
    this.terms = terms;
  }

  /** Sends the request to an upstream that has room, or queues it until one has. */
  void send(UpstreamSelection.CostedUpstream best) {
    if (waitEnded || !queue.mayWaitUntil(terms.bound())) {
      exchange.startAttempt(best);
      return;
    }
    boolean othersWait = queue.isWaitedFor(target());
    Optional<UpstreamSelection.CostedUpstream> chosen =
        othersWait
            ? Optional.empty()
            : Optional.of(best).filter(this::hasRoom).or(() -> exchange.choose(this::hasRoom));
    if (chosen.isPresent()) {
      exchange.startAttempt(chosen.get());
      return;
    }
    enqueue(best);
    if (othersWait) {
      queue.roomMayBeFree();
    }
  }

  private String target() {
    return exchange.request().service() + "/" + exchange.model().orElse("");
  }

  /** Returns whether the upstream has room and is one that the request may wait for. */
  private boolean hasRoom(UpstreamSelection.CostedUpstream upstream) {
    if (!upstream.preferred()) {
      return false;
    }
    double load = exchange.components().tables().upstreamTable().estimatedLoad(upstream.row());
    return RoomRule.hasRoom(
        upstream.forecast(), load, upstream.upstream().slots(), terms.urgentGoalMillis());
  }

  private void enqueue(UpstreamSelection.CostedUpstream best) {
    Urgency urgency = exchange.urgency();
    Duration prefill = Duration.ofMillis((long) best.forecast().prefillMillis());
    QueuedRequest request =
        new QueuedRequest(
            target(),
            new Urgency(
                urgency.rank(),
                terms.beyondShare(),
                urgency.retry(),
                urgency.goalEnd(),
                urgency.goalEnd().minus(prefill)),
            terms.bound(),
            // It is sent at its bound whatever the load, so it never starts too late.
            Instant.MAX,
            this::proceedOrFail,
            () -> exchange.run(this::boundReached),
            predictedWait -> exchange.run(() -> refuseUnlessSent("displaced", predictedWait)));
    queuedAt = now();
    Optional<Rejection> rejection = queue.enqueue(request);
    if (rejection.isPresent()) {
      String reason = rejection.get().reason().name().toLowerCase(Locale.ROOT);
      refuseUnlessSent(reason, rejection.get().predictedWait());
      return;
    }
    queued = Optional.of(request);
    position = queue.positionOf(request);
    exchange.components().meters().count("queue.waited");
  }

  private Instant now() {
    return exchange.components().clock().instant();
  }

  private boolean proceedOrFail() {
    try {
      return proceed();
    } catch (RuntimeException | Error e) {
      exchange.fail(e);
      return true;
    }
  }

  /** Sends the request if an upstream has room; returns whether it leaves the queue. */
  private boolean proceed() {
    if (exchange.refuseIfCrashing()) {
      return true;
    }
    if (!exchange.components().canSendTo(exchange.request().service())) {
      end("unreachable");
      exchange.sendToNextUpstream();
      return true;
    }
    Optional<UpstreamSelection.CostedUpstream> chosen = exchange.choose(this::hasRoom);
    if (chosen.isEmpty()) {
      return false;
    }
    end("sent");
    exchange.startAttempt(chosen.get());
    return true;
  }

  private void boundReached() {
    boolean eligible = exchange.choose(unused -> true).isPresent();
    exchange.components().meters().count(eligible ? "queue.sent-at-bound" : NO_UPSTREAM);
    sendNow(eligible ? "sent-at-bound" : "no-upstream");
  }

  private void refuseUnlessSent(String reason, Duration predictedWait) {
    if (exchange.attemptsSent() > 0) {
      sendNow("sent-" + reason);
      return;
    }
    exchange.components().meters().count("queue.refused-" + reason);
    end("refused-" + reason);
    exchange.giveUpForRoom(predictedWait);
  }

  /** Sends the request whatever the load of the upstreams, or refuses it if none is eligible. */
  private void sendNow(String outcome) {
    waitEnded = true;
    end(outcome);
    exchange.sendToNextUpstream();
  }

  /** Leaves the queue because the request ended while it waited, if it waits. */
  void exchangeEnded() {
    if (queued.map(queue::remove).orElse(false)) {
      end("ended");
    }
  }

  private void end(String outcome) {
    Duration wait = Duration.between(queuedAt, now());
    queued.ifPresent(unused -> exchange.components().meters().time("queue.wait", wait));
    queued = Optional.empty();
    Optional<Duration> reportAge = exchange.components().prefillBacklog().reportAge(now());
    exchange.log().log(
        "queued for %d ms rank=%d retry=%b position=%d target=%s age=%d boundMillis=%d"
            + " reportAge=%d outcome=%s",
        wait.toMillis(),
        exchange.urgency().rank(),
        exchange.urgency().retry(),
        position,
        target(),
        exchange.elapsed().toMillis(),
        Duration.between(now(), terms.bound()).toMillis(),
        reportAge.map(Duration::toMillis).orElse(-1L),
        outcome);
  }
}
