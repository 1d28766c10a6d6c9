// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.net.SocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import org.oatlug.api.RefusalReason;
import org.oatlug.errors.ErrorText;
import org.oatlug.errors.UpstreamFailedException.Progress;
import org.oatlug.gateway.AttemptMetadata;
import org.oatlug.gateway.ResponseHead;
import org.oatlug.gateway.Route;
import org.oatlug.gateway.RouteKind;
import org.oatlug.gateway.WorkspaceKeys;
import org.oatlug.internal.crash.CrashLedger.Verdict;
import org.oatlug.internal.engine.FirstTokenForecast;
import org.oatlug.internal.gateway.UpstreamEligibility.Exclusion;
import org.oatlug.internal.routing.RequestPriority;

/**
 * One attempt of an exchange at one upstream, and the handling of its response.
 *
 * <p>{@link UpstreamConnection} owns the connection; this class decides whether the response is
 * accepted, dropped or requested again; {@link AttemptFeedback} records the progress and outcome of
 * the attempt. Invariant: once a response to the caller has begun, it continues only with the
 * events that follow. Used from one event loop.
 */
final class ExchangeAttempt implements UpstreamConnection.Listener {
  private static final String EVENT_STREAM_TYPE = "text/event-stream";
  private static final int FIRST_SERVER_ERROR = 500;
  private static final int OK = 200;

  private final Exchange exchange;
  private final GatewayComponents components;
  private final AdmittedRequest request;
  private final Route route;
  private final CallerResponse callerResponse;
  private final StreamRelay relay;
  private final UpstreamSelection.CostedUpstream chosen;
  private final Optional<String> model;
  private final AttemptFeedback feedback;
  private final BufferedResponse bufferedResponse;
  private final IdleTimeout idleTimeout;
  private final StreamEventInterval eventInterval = new StreamEventInterval();
  private final MultiMap headers = MultiMap.caseInsensitiveMultiMap();
  private UpstreamConnection connection;
  private HttpClientResponse response;
  private boolean streaming;
  private boolean released;
  private boolean runsIsolated;

  ExchangeAttempt(
      Exchange exchange, UpstreamSelection.CostedUpstream chosen, Optional<String> model) {
    this.exchange = exchange;
    this.components = exchange.components();
    this.request = exchange.request();
    this.route = request.route();
    this.callerResponse = exchange.callerResponse();
    this.relay = exchange.relay();
    this.chosen = chosen;
    this.model = model;
    this.feedback = new AttemptFeedback(components, request, chosen, model);
    this.bufferedResponse = BufferedResponse.create(components, callerResponse);
    this.idleTimeout =
        IdleTimeout.create(components, this::currentIdleTimeout, this::retryOnAnotherUpstream);
  }

  String upstreamName() {
    return chosen.name();
  }

  /** Returns whether the attempt has not ended. */
  boolean isOpen() {
    return !released;
  }

  /** Sends the request to the upstream. */
  void send() {
    feedback.begin();
    exchange.recordAttempt(chosen.name());
    runsIsolated = exchange.requestGuard().isSuspect();
    if (runsIsolated) {
      exchange.requestGuard().startIsolated(chosen.name());
    }
    headers.addAll(request.headers());
    components.adapter().upstreams().addMetadata(headers, metadata());
    logSent();
    connection = UpstreamConnection.start(components.client(), outgoingRequest(), this);
    if (route.isRepeatable() && !released) {
      idleTimeout.start();
    }
  }

  private void logSent() {
    FirstTokenForecast forecast = chosen.forecast();
    exchange.log().log(
        "attempt=%d route=%s upstream=%s revision=%s version=%s model=%s load=%d"
            + " remainingMillis=%d lastEventId=%s uncachedTokens=%.0f waitingMillis=%.0f"
            + " expected=%d",
        exchange.attemptsSent(),
        route.name(),
        chosen.name(),
        components.tables().revisionOf(chosen.name()),
        chosen.upstream().version(),
        model.orElse("-"),
        chosen.row().expectedLoad(),
        exchange.remainingTime().toMillis(),
        relay.lastEventId(),
        forecast.uncachedTokens(),
        forecast.waitingMillis(),
        forecast.timeToFirstToken().toMillis());
  }

  private UpstreamConnection.OutgoingRequest outgoingRequest() {
    SocketAddress address =
        SocketAddress.inetSocketAddress(chosen.upstream().port(), chosen.upstream().host());
    return new UpstreamConnection.OutgoingRequest(
        address, request.method(), request.uri(), headers, request.body(), request.hasBody());
  }

  /** Returns the current idle timeout of the upstream. */
  private Duration currentIdleTimeout() {
    return response == null ? feedback.headTimeout() : feedback.pauseTimeout();
  }

  /**
   * Abandons the attempt after the idle timeout, if the request may be sent to another upstream.
   */
  private void retryOnAnotherUpstream() {
    if (!bufferedResponse.isForwarded() && exchange.tryAcquireRetry("upstream-silent")) {
      abandon();
      logEvent("silent");
      feedback.recordFailure();
      exchange.markMayHaveRun();
      recordOutcome(true);
      relay.resetForNextUpstream();
      exchange.sendToNextUpstream();
    }
  }

  private AttemptMetadata metadata() {
    return new AttemptMetadata(
        chosen.name(),
        request.workspace().map(WorkspaceKeys::name),
        exchange.remainingTime(),
        model,
        relay.lastEventId(),
        OptionalInt.of(priority()));
  }

  private int priority() {
    int basePriority =
        request.workspace().flatMap(WorkspaceKeys::priority).orElse(route.priority());
    return RequestPriority.of(basePriority, chosen.forecast(), route.goalMillis());
  }

  /** Ends the attempt without a result and closes its connection. */
  void abandon() {
    release();
    if (connection != null) {
      connection.cancel();
    }
  }

  private void release() {
    if (!released) {
      released = true;
      if (runsIsolated) {
        exchange.requestGuard().endIsolated();
      }
      feedback.end();
      bufferedResponse.release();
      idleTimeout.stop();
    }
  }

  /**
   * Checks the caller and the state of the upstream again before the request is written. On a busy
   * instance the disconnect of the caller may not have been processed yet, and nobody would receive
   * the response. The upstream may have begun to drain or asked to back off while the connection
   * was opened, which takes long in a process that was suspended.
   */
  @Override
  public boolean maySend() {
    feedback.connected();
    if (callerResponse.isCallerDisconnected()) {
      release();
      logEvent("withheld, the caller disconnected");
      components.meters().count("request.withheld-caller-left");
      return false;
    }
    if (!exchange.hasTimeForAttempt()) {
      release();
      logEvent("withheld, too little time is left");
      exchange.deadlinePassed();
      return false;
    }
    if (exchange.requestGuard().verdict() == Verdict.REFUSED) {
      return withhold("the request crashes upstreams", "crashes-upstreams");
    }
    Optional<Exclusion> exclusion =
        components
            .selection()
            .eligibility()
            .exclusionBeforeWrite(chosen.name(), components.clock().instant());
    if (exclusion.isEmpty()) {
      exclusion = feedback.write();
    }
    if (exclusion.isPresent()) {
      return withhold(exclusion.get().reason(), exclusion.get().counterSuffix());
    }
    // Updates the remaining time: the host may have been suspended since the headers were first
    // composed.
    components.adapter().upstreams().addMetadata(headers, metadata());
    return true;
  }

  /** Ends the attempt before anything is written, and tries another upstream. */
  private boolean withhold(String reason, String counterSuffix) {
    release();
    logEvent("withheld, " + reason);
    exchange.retryUnsent("retry." + counterSuffix);
    return false;
  }

  @Override
  public void headReceived(HttpClientResponse received) {
    response = received;
    activityReceived();
    ResponseHead head = components.adapter().upstreams().read(received);
    feedback.responseHeadReceived(head);
    if (!head.requestId().equals(Optional.of(request.head().id()))) {
      connection.cancel();
      failed(Progress.ANSWERING, "the answer belongs to another request");
      return;
    }
    if (head.verdict() != ResponseHead.Verdict.RAN) {
      handleRefusal(head);
      return;
    }
    boolean failure = head.status() >= FIRST_SERVER_ERROR;
    recordOutcome(failure);
    if (!failure) {
      logResponseBegin();
      feedback.recordTimeToHead();
    }
    if (failure && retryAfterFailure(head)) {
      return;
    }
    if (!failure && replaceWithOtherModel(head)) {
      return;
    }
    accept(head);
  }

  private void logResponseBegin() {
    FirstTokenForecast forecast = chosen.forecast();
    if (!forecast.equals(FirstTokenForecast.NONE)) {
      logEvent("answer begins expected=" + forecast.timeToFirstToken().toMillis());
    }
  }

  private void handleRefusal(ResponseHead head) {
    abandon();
    boolean wrongUpstream = head.verdict() == ResponseHead.Verdict.WRONG_UPSTREAM;
    if (wrongUpstream) {
      chosen.row().markLeaving();
    } else {
      feedback.recordRefusal();
    }
    logEvent(
        "refused by upstream status="
            + head.status()
            + head.backOff().map(backOff -> " backOffMillis=" + backOff.toMillis()).orElse(""));
    if (exchange.tryAcquireRetry(wrongUpstream ? "upstream-moved" : "upstream-refused")) {
      exchange.sendToNextUpstream();
    } else {
      exchange.giveUpAfterRefusal();
    }
  }

  /** Starts another attempt after a failure of the upstream; returns whether it did. */
  private boolean retryAfterFailure(ResponseHead head) {
    exchange.markMayHaveRun();
    feedback.recordFailure();
    if (!route.isRepeatable()) {
      return false;
    }
    if (!exchange.tryAcquireRetry("upstream-status")) {
      return false;
    }
    abandon();
    logEvent("failed status=" + head.status());
    exchange.sendToNextUpstream();
    return true;
  }

  /** Drops a low-confidence response and tries another model; returns whether it did. */
  private boolean replaceWithOtherModel(ResponseHead head) {
    boolean replaceable = route.isCascade() && route.isRepeatable() && !callerResponse.isBegun();
    if (!replaceable || head.confidence().isEmpty()) {
      return false;
    }
    int confidence = head.confidence().getAsInt();
    Optional<Exchange.Replacement> replacement = exchange.replacementFor(confidence);
    if (replacement.isEmpty() || !exchange.tryAcquireRetry("larger-model")) {
      return false;
    }
    exchange.markMayHaveRun();
    feedback.recordSuccess();
    abandon();
    logEvent("dropped confidence=" + confidence);
    exchange.sendToReplacement(replacement.get());
    return true;
  }

  private void accept(ResponseHead head) {
    exchange.markMayHaveRun();
    String contentType = response.getHeader("Content-Type");
    streaming =
        route.kind() == RouteKind.STREAM
            && head.status() == OK
            && contentType != null
            && contentType.startsWith(EVENT_STREAM_TYPE);
    if (callerResponse.isBegun() && !streaming) {
      connection.cancel();
      failed(Progress.ANSWERING, "expected an event stream, status=" + head.status());
    }
  }

  /** Records activity of the upstream, and the pause of the stream before it. */
  private void activityReceived() {
    Duration pause = idleTimeout.recordActivity();
    if (streaming) {
      feedback.recordPause(pause);
    }
  }

  @Override
  public void dataReceived(Buffer data) {
    activityReceived();
    if (!streaming) {
      bufferedResponse.append(response, data, this::write);
      return;
    }
    long countBefore = relay.eventCount();
    Buffer events = relay.newEvents(data);
    if (events.length() > 0) {
      eventInterval
          .add(relay.eventCount() - countBefore, components.clock().instant())
          .ifPresent(feedback::recordEventInterval);
      beginStream();
      write(events);
    }
  }

  private void write(Buffer data) {
    if (callerResponse.write(data, this::resumeReading)) {
      eventInterval.discard();
      idleTimeout.pause();
      connection.pause();
    }
  }

  private void resumeReading() {
    idleTimeout.resume();
    connection.resume();
  }

  private void beginStream() {
    if (callerResponse.isBegun()) {
      return;
    }
    MultiMap headers = components.adapter().upstreams().responseHeaders(response);
    headers.remove("Content-Length");
    callerResponse.begin(response.statusCode(), headers);
    components.meters().time("first-event." + route.name(), exchange.elapsed());
  }

  @Override
  public void completed() {
    if (streaming && relay.hasPartialEvent()) {
      failed(Progress.ANSWERING, "the stream ended inside an event");
      return;
    }
    release();
    if (isDelimited()) {
      exchange.requestGuard().recordSuccess();
    }
    if (response.statusCode() < FIRST_SERVER_ERROR) {
      feedback.recordSuccess();
    }
    if (streaming) {
      eventInterval.end().ifPresent(feedback::recordEventInterval);
      beginStream();
      exchange.finish("stream");
      callerResponse.end();
      return;
    }
    exchange.finish("status " + response.statusCode());
    bufferedResponse.finish(response);
  }

  /**
   * Returns whether the response has a length or is chunked. Any other response ends with its
   * connection, so a crash of the upstream looks like a complete response.
   */
  private boolean isDelimited() {
    return response.getHeader("Content-Length") != null
        || response.getHeader("Transfer-Encoding") != null;
  }

  @Override
  public void failed(Progress progress, String problem) {
    release();
    feedback.recordFailure();
    logEvent("failed " + progress + " " + problem + " request=" + request.fingerprint());
    if (progress == Progress.NOT_SENT) {
      feedback.connectFailed();
      exchange.retryUnsent("retry.upstream-not-reached");
      return;
    }
    exchange.markMayHaveRun();
    recordOutcome(true);
    relay.resetForNextUpstream();
    boolean mustNotRetry = recordInterruption();
    if (route.isRepeatable()
        && !bufferedResponse.isForwarded()
        && !mustNotRetry
        && exchange.tryAcquireRetry("upstream-" + (streaming ? "stream" : "answer"))) {
      exchange.sendToNextUpstream();
    } else {
      exchange.giveUp(RefusalReason.UPSTREAM_FAILED, ErrorText.get().upstreamBroke);
    }
  }

  /**
   * Records that the response was interrupted; returns true if a retry could crash another
   * upstream.
   */
  private boolean recordInterruption() {
    boolean mustNotRetry = exchange.requestGuard().blocksRetry(chosen.row().process());
    // An upstream that drains ends as planned, so the request did not crash it.
    if (!components.tables().isLeaving(chosen.name())) {
      exchange.requestGuard().responseInterrupted(chosen, feedback.started());
    }
    return mustNotRetry;
  }

  /** Records whether the upstream's version failed the request. */
  private void recordOutcome(boolean failure) {
    if (failure) {
      exchange.recordFailedVersion(chosen.upstream().version());
    }
    feedback.recordOutcome(failure);
  }

  private void logEvent(String event) {
    exchange.log().log(
        "attempt=%d upstream=%s %s millis=%d",
        exchange.attemptsSent(), chosen.name(), event, feedback.elapsed().toMillis());
  }
}
