// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.entry;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.vertx.core.impl.transports.NioTransport;
import io.vertx.core.transport.Transport;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A transport that partitions one instance from some ports, while all others still reach them.
 * Thread-safe.
 */
final class PartitionableTransport extends NioTransport implements Transport {
  private final Set<Integer> ports = ConcurrentHashMap.newKeySet();
  private final Set<PartitionableChannel> channels = ConcurrentHashMap.newKeySet();
  private volatile Partition partition = Partition.NONE;

  /** What happens to connections to the partitioned ports. */
  enum Partition {
    NONE,
    /** Open and new connections hang. */
    SILENT,
    /** Open connections are closed and new ones are refused. */
    RESET,
    /** Open connections live on and new ones are refused. */
    REFUSE_NEW
  }

  /** Partitions the instance from these ports; {@link Partition#NONE} ends the partition. */
  void partition(Partition newPartition, Set<Integer> newPorts) {
    ports.clear();
    ports.addAll(newPorts);
    partition = newPartition;
    if (newPartition == Partition.RESET) {
      channels.stream().filter(PartitionableChannel::isPartitioned).forEach(Channel::close);
    }
  }

  @Override
  public String name() {
    return "partitionable";
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
    return PartitionableChannel::new;
  }

  /** A client connection. */
  private final class PartitionableChannel extends NioSocketChannel {
    private volatile int port;

    boolean isPartitioned() {
      return partition != Partition.NONE && ports.contains(port);
    }

    private boolean isSilent() {
      return partition == Partition.SILENT && isPartitioned();
    }

    @Override
    protected boolean doConnect(SocketAddress remote, SocketAddress local) throws Exception {
      port = ((InetSocketAddress) remote).getPort();
      if (isSilent()) {
        return false;
      }
      if (isPartitioned()) {
        throw new ConnectException("partitioned");
      }
      channels.add(this);
      return super.doConnect(remote, local);
    }

    @Override
    protected int doReadBytes(ByteBuf buffer) throws Exception {
      if (!isSilent()) {
        return super.doReadBytes(buffer);
      }
      ByteBuf discarded = alloc().buffer();
      try {
        if (super.doReadBytes(discarded) < 0) {
          config().setAutoRead(false);
        }
      } finally {
        discarded.release();
      }
      return 0;
    }

    @Override
    protected void doWrite(ChannelOutboundBuffer buffer) throws Exception {
      if (!isSilent()) {
        super.doWrite(buffer);
        return;
      }
      while (buffer.current() != null) {
        buffer.remove();
      }
    }

    @Override
    protected void doClose() throws Exception {
      channels.remove(this);
      super.doClose();
    }
  }
}
