// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.peer;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import io.vertx.core.parsetools.RecordParser;
import java.io.IOException;
import org.oatlug.errors.MalformedFrameException;
import org.oatlug.internal.util.Json;

/**
 * Encodes and decodes the frames of the peer protocol: a length of four bytes, then an envelope in
 * MessagePack.
 *
 * <p>Invariant: a frame that exceeds the maximum length or holds no valid envelope closes the
 * connection and is never processed in part. Used from one event loop.
 */
final class Frames {
  static final int MAXIMUM_LENGTH = 4 * 1024 * 1024;
  private static final int LENGTH_BYTES = 4;

  private Frames() {}

  /**
   * Holds the content of a frame.
   *
   * @param id matches a response to its request; 0 during the handshake
   * @param answer whether this is a response
   * @param message the message
   */
  record Envelope(long id, boolean answer, PeerMessage message) {}

  /** Receives the frames of a connection. */
  interface Receiver {
    void received(Envelope envelope);

    void malformed(MalformedFrameException failure);
  }

  static Buffer encode(Envelope envelope) {
    try {
      byte[] payload = Json.MESSAGE_PACK.writeValueAsBytes(envelope);
      return Buffer.buffer(LENGTH_BYTES + payload.length)
          .appendInt(payload.length)
          .appendBytes(payload);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(e);
    }
  }

  static Envelope decode(Buffer payload) throws MalformedFrameException {
    try {
      Envelope envelope = Json.MESSAGE_PACK.readValue(payload.getBytes(), Envelope.class);
      if (envelope == null || envelope.message() == null) {
        throw new MalformedFrameException("the envelope has no message");
      }
      return envelope;
    } catch (IOException e) {
      throw new MalformedFrameException("the payload is not a valid envelope");
    }
  }

  static void read(NetSocket socket, Receiver receiver) {
    RecordParser parser = RecordParser.newFixed(LENGTH_BYTES);
    parser.setOutput(new FrameReader(parser, receiver));
    socket.handler(parser);
  }

  /** Reads the length and the payload of frames alternately. */
  private static final class FrameReader implements Handler<Buffer> {
    private final RecordParser parser;
    private final Receiver receiver;
    private boolean readingLength = true;
    private boolean failed;

    FrameReader(RecordParser parser, Receiver receiver) {
      this.parser = parser;
      this.receiver = receiver;
    }

    @Override
    public void handle(Buffer record) {
      if (failed) {
        return;
      }
      if (readingLength) {
        expectPayload(record.getInt(0));
        return;
      }
      readingLength = true;
      parser.fixedSizeMode(LENGTH_BYTES);
      try {
        receiver.received(decode(record));
      } catch (MalformedFrameException e) {
        fail(e);
      }
    }

    private void expectPayload(int length) {
      if (length <= 0 || length > MAXIMUM_LENGTH) {
        fail(new MalformedFrameException("invalid frame length " + length));
        return;
      }
      readingLength = false;
      parser.fixedSizeMode(length);
    }

    private void fail(MalformedFrameException failure) {
      failed = true;
      receiver.malformed(failure);
    }
  }
}
