// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.oatlug.config.Settings;
import org.oatlug.internal.peer.Member;
import org.oatlug.internal.peer.PeerMessage;
import org.oatlug.internal.peer.TcpPeers;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Shows that a connection which goes silent without a reset is replaced by another. */
public class SilentConnectionTest {
  private static final Duration PATIENCE = Duration.ofMillis(300);
  private static final long BOUND_SECONDS = 20;

  private final List<Runnable> silences = new ArrayList<>();
  private Vertx vertx;
  private TcpPeers caller;
  private Member reached;

  @BeforeMethod
  void begin() throws Exception {
    vertx = Vertx.vertx();
    int port = Ports.free();
    int relayPort = Ports.free();
    reached = member("answering", relayPort);
    TcpPeers answering = peers(member("answering", port));
    caller = peers(member("calling", Ports.free()));
    wait(answering.listen());
    wait(relay(port).listen(relayPort, "127.0.0.1"));
  }

  @AfterMethod(alwaysRun = true)
  void end() {
    vertx.close();
  }

  private static <T> T wait(io.vertx.core.Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(BOUND_SECONDS, TimeUnit.SECONDS);
  }

  private static Member member(String name, int port) {
    return new Member(name, "here", "rack", "127.0.0.1", port, 1, 0, Member.State.ALIVE);
  }

  private TcpPeers peers(Member self) {
    Settings.Peers settings =
        new Settings.Peers(
            self.host(), self.peerPort(), "key", List.of(), Optional.empty(), Optional.empty());
    return TcpPeers.create(
        vertx,
        settings,
        () -> self,
        (from, message) -> Uni.createFrom().item(new PeerMessage.Done()));
  }

  /** Passes bytes on in both directions, until a connection is silenced. */
  private NetServer relay(int port) {
    return vertx
        .createNetServer()
        .connectHandler(
            inward -> {
              inward.pause();
              vertx
                  .createNetClient()
                  .connect(port, "127.0.0.1")
                  .onSuccess(outward -> join(inward, outward));
            });
  }

  private void join(NetSocket inward, NetSocket outward) {
    inward.handler(outward::write);
    outward.handler(inward::write);
    silences.add(
        () -> {
          inward.handler(unused -> {});
          outward.handler(unused -> {});
        });
    inward.resume();
  }

  /**
   * Pushes wait for their answer before they go past a silent instance; a connection that does not
   * come about took two seconds, whatever the patience was.
   */
  @Test
  public void testPatienceCoversTheOpeningOfTheConnection() throws Exception {
    int port = Ports.free();
    wait(vertx.createNetServer().connectHandler(socket -> {}).listen(port, "127.0.0.1"));
    Member mute = member("mute", port);
    CompletableFuture<String> first = new CompletableFuture<>();
    vertx.runOnContext(
        unused -> {
          vertx.setTimer(1500, timer -> first.complete("the other timer"));
          caller
              .ask(mute, new PeerMessage.Ping(List.of()), PATIENCE)
              .subscribe()
              .with(message -> first.complete("answer"), failure -> first.complete("failure"));
        });
    assertEquals(first.get(BOUND_SECONDS, TimeUnit.SECONDS), "failure");
  }

  private boolean asks() throws Exception {
    CompletableFuture<Boolean> answered = new CompletableFuture<>();
    vertx.runOnContext(
        unused ->
            caller
                .ask(reached, new PeerMessage.Ping(List.of()), PATIENCE)
                .subscribe()
                .with(message -> answered.complete(true), failure -> answered.complete(false)));
    return answered.get(BOUND_SECONDS, TimeUnit.SECONDS);
  }

  @Test
  public void testSilentConnectionIsReplacedByAnother() throws Exception {
    Await.until("the first question is answered", this::asks);
    silences.forEach(Runnable::run);
    Await.until("a question after the silence is answered", this::asks);
    assertTrue(silences.size() > 1, "another connection was opened");
  }
}
