// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.vertx.core.impl.transports.NioTransport;
import io.vertx.core.transport.Transport;
import java.net.SocketAddress;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A transport whose client connections share one narrow outbound link.
 *
 * <p>Bytes and the opening of connections pass the link one after another, so a connection opens
 * only after the bytes ahead of it. What is received is not delayed, except in a partition, which
 * holds everything. Thread-safe.
 */
final class NarrowLinkTransport extends NioTransport implements Transport {
  /** The size of the packets that open a connection. */
  private static final int OPENING_BYTES = 120;

  private static final long PARTITION_POLL_MILLIS = 20;

  private final long bytesPerSecond;
  private final AtomicLong freeAtNanos = new AtomicLong(System.nanoTime());
  private volatile boolean partitioned;

  NarrowLinkTransport(long bytesPerSecond) {
    this.bytesPerSecond = bytesPerSecond;
  }

  /** Partitions all client connections: new ones hang, and nothing passes on open ones. */
  void partition() {
    partitioned = true;
  }

  /** Ends the partition. */
  void heal() {
    partitioned = false;
  }

  /** Returns the time until bytes that are sent now have passed the link. */
  Duration delay() {
    return Duration.ofNanos(Math.max(0, freeAtNanos.get() - System.nanoTime()));
  }

  /** Occupies the link with other traffic. */
  void occupy(Duration time) {
    reserve(time.toMillis() * bytesPerSecond / 1000);
  }

  /** Puts bytes on the link; returns the nanoseconds until they have passed it. */
  private long reserve(long bytes) {
    long now = System.nanoTime();
    long nanos = TimeUnit.SECONDS.toNanos(bytes) / bytesPerSecond;
    return freeAtNanos.updateAndGet(freeAt -> Math.max(freeAt, now) + nanos) - now;
  }

  @Override
  public String name() {
    return "narrow link";
  }

  @Override
  public boolean available() {
    return true;
  }

  @Override
  public Throwable unavailabilityCause() {
    return null;
  }

  @Override
  public io.vertx.core.spi.transport.Transport implementation() {
    return this;
  }

  @Override
  public ChannelFactory<? extends Channel> channelFactory(boolean domainSocket) {
    return NarrowChannel::new;
  }

  /** A client connection over the link. */
  private final class NarrowChannel extends NioSocketChannel {
    /** The pending bytes that have been put on the link. */
    private long reservedBytes;

    private boolean passed;

    @Override
    protected boolean doConnect(SocketAddress remote, SocketAddress local) throws Exception {
      if (partitioned) {
        return false;
      }
      eventLoop()
          .schedule(() -> connectNow(remote, local), reserve(OPENING_BYTES), TimeUnit.NANOSECONDS);
      return false;
    }

    private void connectNow(SocketAddress remote, SocketAddress local) {
      try {
        if (isOpen() && !partitioned && super.doConnect(remote, local)) {
          ((AbstractNioUnsafe) unsafe()).finishConnect();
        }
      } catch (Exception e) {
        pipeline().fireExceptionCaught(e);
      }
    }

    @Override
    protected void doWrite(ChannelOutboundBuffer buffer) throws Exception {
      if (passed) {
        passed = false;
        reservedBytes = 0;
        super.doWrite(buffer);
      }
      long pending = buffer.totalPendingWriteBytes();
      if (pending > reservedBytes) {
        long nanos = reserve(pending - reservedBytes);
        reservedBytes = pending;
        eventLoop().schedule(this::pass, nanos, TimeUnit.NANOSECONDS);
      }
    }

    private void pass() {
      if (partitioned) {
        eventLoop().schedule(this::pass, PARTITION_POLL_MILLIS, TimeUnit.MILLISECONDS);
        return;
      }
      passed = true;
      ((AbstractNioUnsafe) unsafe()).forceFlush();
    }

    @Override
    protected int doReadBytes(ByteBuf target) throws Exception {
      if (partitioned) {
        config().setAutoRead(false);
        eventLoop()
            .schedule(
                () -> config().setAutoRead(true), PARTITION_POLL_MILLIS, TimeUnit.MILLISECONDS);
        return 0;
      }
      return super.doReadBytes(target);
    }
  }
}
