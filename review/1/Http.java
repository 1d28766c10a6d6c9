import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages from a socket. */
final class Http {
  /** A message; {@code body} is null if it was cut short. */
  record Message(String startLine, Map<String, String> headers, byte[] body, boolean whole) {
    int status() {
      return Integer.parseInt(startLine.split(" ")[1]);
    }

    String header(String name) {
      return headers.get(name.toLowerCase(Locale.ROOT));
    }
  }

  private Http() {}

  static String line(InputStream in) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    int next;
    while ((next = in.read()) != '\n') {
      if (next < 0) {
        throw new EOFException(bytes.size() == 0 ? "closed" : "closed inside a line");
      }
      if (next != '\r') {
        bytes.write(next);
      }
    }
    return bytes.toString(StandardCharsets.ISO_8859_1);
  }

  /** Reads the start line and headers; the body is empty. */
  static Message head(InputStream in) throws IOException {
    String start = line(in);
    Map<String, String> headers = new LinkedHashMap<>();
    String text;
    while (!(text = line(in)).isEmpty()) {
      int colon = text.indexOf(':');
      headers.merge(
          text.substring(0, colon).trim().toLowerCase(Locale.ROOT),
          text.substring(colon + 1).trim(),
          (first, second) -> first + ", " + second);
    }
    return new Message(start, headers, new byte[0], true);
  }

  /** Reads a whole message; an interrupted body is returned with {@code whole} false. */
  static Message read(InputStream in, boolean untilClose) throws IOException {
    Message head = head(in);
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    boolean whole = true;
    try {
      if ("chunked".equalsIgnoreCase(head.header("Transfer-Encoding"))) {
        int size;
        while ((size = Integer.parseInt(line(in).split(";")[0].trim(), 16)) > 0) {
          copy(in, body, size);
          line(in);
        }
        line(in);
      } else if (head.header("Content-Length") != null) {
        copy(in, body, Integer.parseInt(head.header("Content-Length")));
      } else if (untilClose) {
        in.transferTo(body);
      }
    } catch (IOException e) {
      whole = false;
    }
    return new Message(head.startLine, head.headers, body.toByteArray(), whole);
  }

  private static void copy(InputStream in, ByteArrayOutputStream to, int count)
      throws IOException {
    byte[] buffer = new byte[16384];
    int left = count;
    while (left > 0) {
      int read = in.read(buffer, 0, Math.min(left, buffer.length));
      if (read < 0) {
        throw new EOFException("closed inside a body");
      }
      to.write(buffer, 0, read);
      left -= read;
    }
  }
}
