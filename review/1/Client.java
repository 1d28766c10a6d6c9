import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** One connection of a client. */
final class Client implements AutoCloseable {
  final Socket socket = new Socket();
  final InputStream in;

  Client(String host, int port) throws IOException {
    socket.connect(new InetSocketAddress(InetAddress.getByName(host), port), 1000);
    socket.setTcpNoDelay(true);
    in = new BufferedInputStream(socket.getInputStream());
  }

  static String head(String method, String path, String id, int deadlineMillis, int length) {
    return method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + id
        + "\r\nRequest-Deadline: " + deadlineMillis + "\r\nAuthorization: Bearer key-one\r\n"
        + (length >= 0 ? "Content-Length: " + length + "\r\n" : "") + "\r\n";
  }

  void send(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Reads the answer, for so long at most. */
  Http.Message read(int timeoutMillis) throws IOException {
    socket.setSoTimeout(timeoutMillis);
    return Http.read(in, true);
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
