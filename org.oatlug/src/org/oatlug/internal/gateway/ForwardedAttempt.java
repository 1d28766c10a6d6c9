// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.net.SocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.oatlug.api.RefusalReason;
import org.oatlug.errors.ErrorText;
import org.oatlug.errors.UpstreamFailedException.Progress;
import org.oatlug.gateway.ResponseHead;
import org.oatlug.gateway.Route;
import org.oatlug.internal.forward.ForwardedRequest;
import org.oatlug.internal.forward.ForwardingOutcome;
import org.oatlug.internal.forward.ForwardingProtocol;
import org.oatlug.internal.forward.Receiver;

/**
 * One attempt of an exchange at another instance, which sends the request to an upstream that this
 * instance does not reach.
 *
 * <p>The receiver chooses upstreams and versions and retries; this instance keeps the caller's
 * connection, the deadline and the retry budget. Invariants: the receiver gets no more attempts
 * than the route has left; if its connection breaks after the request was written, the request may
 * have run. Used from one event loop.
 */
final class ForwardedAttempt implements Attempt, UpstreamConnection.Listener {
  private static final int FIRST_SERVER_ERROR = 500;

  private final Exchange exchange;
  private final GatewayComponents components;
  private final AdmittedRequest request;
  private final Route route;
  private final Receiver receiver;
  private final ForwardedRequest forwarded;
  private final Instant startedAt;
  private final IdleTimeout idleTimeout;
  private final ResponseRelay responseRelay;
  private final MultiMap headers = MultiMap.caseInsensitiveMultiMap();
  private UpstreamConnection connection;
  private boolean headReceived;
  private boolean released;

  private ForwardedAttempt(Exchange exchange, Receiver receiver, ForwardedRequest forwarded) {
    this.exchange = exchange;
    this.components = exchange.components();
    this.request = exchange.request();
    this.route = request.route();
    this.receiver = receiver;
    this.forwarded = forwarded;
    this.startedAt = components.clock().instant();
    this.idleTimeout =
        IdleTimeout.create(
            components,
            this::currentIdleTimeout,
            isEvidence -> exchange.run(() -> retryElsewhere(isEvidence)));
    this.responseRelay = ResponseRelay.create(exchange, this::responseHeaders, idleTimeout);
  }

  /** Returns an attempt at the receiver. */
  static ForwardedAttempt create(Exchange exchange, Receiver receiver, ForwardedRequest forwarded) {
    return new ForwardedAttempt(exchange, receiver, forwarded);
  }

  @Override
  public String targetName() {
    return receiver.name();
  }

  @Override
  public boolean isOpen() {
    return !released;
  }

  @Override
  public void send() {
    components.forwarding().receivers().begin(receiver);
    components.meters().count("forward.sent");
    exchange.recordForwarding(receiver.name(), forwarded.maximumAttempts());
    headers.addAll(ForwardingProtocol.without(request.headers()));
    components
        .forwarding()
        .protocol()
        .sign(
            headers,
            forwarded,
            new ForwardingProtocol.Target(
                receiver.name(), request.method(), request.uri(), request.head().host()));
    logSent();
    SocketAddress address =
        SocketAddress.inetSocketAddress(receiver.port(), receiver.member().host());
    connection =
        UpstreamConnection.start(
            components.client(),
            new UpstreamConnection.OutgoingRequest(
                address,
                request.method(),
                request.uri(),
                headers,
                request.body(),
                request.hasBody()),
            this);
    if (route.isRepeatable() && !released) {
      idleTimeout.start();
    }
  }

  private void logSent() {
    exchange.log().log(
        "attempt=%d route=%s service=%s forwarded to=%s reached=%b ageMillis=%d"
            + " remainingMillis=%d attempts=%d lastEventId=%s",
        exchange.attemptsSent(),
        route.name(),
        request.service(),
        receiver.name(),
        receiver.reached(),
        Duration.between(receiver.statedAt(), components.clock().instant()).toMillis(),
        forwarded.remainingMillis(),
        forwarded.maximumAttempts(),
        forwarded.resumeAfter());
  }

  /**
   * Returns the idle timeout of the receiver, which has to notice the silence of an upstream before
   * and to send the request to the next one.
   */
  private Duration currentIdleTimeout() {
    ResponseTimes.Key key = new ResponseTimes.Key(route, "", Duration.ZERO);
    Duration atUpstream =
        headReceived ? components.times().pauseTimeout(key) : components.times().headTimeout(key);
    return atUpstream.multipliedBy(forwarded.maximumAttempts() + 1L);
  }

  private void retryElsewhere(boolean isEvidence) {
    if (!responseRelay.isForwarded() && exchange.tryAcquireRetry("instance-silent")) {
      abandon();
      logEvent("silent");
      exchange.markMayHaveRun();
      if (isEvidence) {
        components.forwarding().receivers().recordUnserved(request.service(), receiver);
      }
      exchange.relay().resetForNextUpstream();
      exchange.sendToNextUpstream();
    }
  }

  @Override
  public void abandon() {
    release();
    if (connection != null) {
      connection.cancel();
    }
  }

  @Override
  public void withhold(String reason) {
    release();
    logEvent("withheld, " + reason);
  }

  private void release() {
    if (!released) {
      released = true;
      components.forwarding().receivers().end(receiver);
      responseRelay.release();
    }
  }

  @Override
  public boolean maySend() {
    if (exchange.withholdsFrom(this)) {
      return false;
    }
    exchange.recordWritten();
    return true;
  }

  private MultiMap responseHeaders(HttpClientResponse response) {
    return ForwardingProtocol.without(components.adapter().upstreams().responseHeaders(response));
  }

  @Override
  public void headReceived(HttpClientResponse response) {
    headReceived = true;
    idleTimeout.recordActivity();
    Optional<ForwardingOutcome> outcome = ForwardingProtocol.outcome(response.headers());
    ResponseHead head = components.adapter().upstreams().read(response);
    if (outcome.isEmpty() || !isForRequest(head, outcome.get())) {
      connection.cancel();
      failed(Progress.ANSWERING, "the answer belongs to another request");
      return;
    }
    if (outcome.get().isServableElsewhere()) {
      handleRefusal(outcome.get());
      return;
    }
    if (outcome.get().notRun() && exchange.mayHaveRun()) {
      abandon();
      exchange.giveUp(RefusalReason.UPSTREAM_FAILED, ErrorText.get().upstreamBroke);
      return;
    }
    exchange.markMayHaveRun();
    if (retryAfterFailure(head, outcome.get())) {
      return;
    }
    if (!responseRelay.begin(response, connection)) {
      connection.cancel();
      failed(Progress.ANSWERING, "expected an event stream, status=" + head.status());
    }
  }

  /**
   * Returns whether the response is for this request; a refusal before its head is read has no id.
   */
  private boolean isForRequest(ResponseHead head, ForwardingOutcome outcome) {
    return outcome.refusal().isPresent()
        || head.requestId().equals(Optional.of(request.head().id()));
  }

  /** Uses an attempt that the receiver did not have after it failed; returns whether it did. */
  private boolean retryAfterFailure(ResponseHead head, ForwardingOutcome outcome) {
    boolean failed = !outcome.notRun() && head.status() >= FIRST_SERVER_ERROR;
    if (!failed || !route.isRepeatable() || !exchange.tryAcquireRetry("instance-status")) {
      return false;
    }
    abandon();
    logEvent("failed status=" + head.status());
    exchange.sendToNextUpstream();
    return true;
  }

  private void handleRefusal(ForwardingOutcome outcome) {
    abandon();
    logEvent("refused by instance reason=" + outcome.refusal().orElseThrow().text());
    components.forwarding().receivers().recordUnserved(request.service(), receiver);
    exchange.retryUnsent("retry.instance-refused");
  }

  @Override
  public void dataReceived(Buffer data) {
    idleTimeout.recordActivity();
    responseRelay.dataReceived(data);
    if (!released && responseRelay.hasExceededEvent()) {
      connection.cancel();
      failed(Progress.ANSWERING, "an event is too long");
    }
  }

  @Override
  public void completed() {
    if (responseRelay.endsInsideEvent()) {
      failed(Progress.ANSWERING, "the stream ended inside an event");
      return;
    }
    release();
    responseRelay.finish();
  }

  @Override
  public void notConnected(Throwable failure) {
    release();
    logEvent("failed " + Progress.NOT_SENT + " " + UpstreamConnection.describe(failure));
    if (components.timeouts().counts(failure, startedAt, UpstreamConnection.CONNECT_TIMEOUT)) {
      components.forwarding().receivers().recordUnserved(request.service(), receiver);
    }
    exchange.retryUnsent("retry.instance-not-reached");
  }

  @Override
  public void failed(Progress progress, String problem) {
    release();
    logEvent("failed " + progress + " " + problem);
    components.forwarding().receivers().recordUnserved(request.service(), receiver);
    exchange.markMayHaveRun();
    exchange.relay().resetForNextUpstream();
    if (route.isRepeatable()
        && !responseRelay.isForwarded()
        && exchange.tryAcquireRetry("instance-lost")) {
      exchange.sendToNextUpstream();
    } else {
      exchange.giveUp(RefusalReason.UPSTREAM_FAILED, ErrorText.get().upstreamBroke);
    }
  }

  @Override
  public void handlerFailed(Throwable error) {
    exchange.fail(error);
  }

  private void logEvent(String event) {
    exchange.log().log(
        "attempt=%d instance=%s %s", exchange.attemptsSent(), receiver.name(), event);
  }
}
