import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound server of a service: it runs each request that names it, and answers with its id. */
final class Upstream {
  /** How the server answers a request that it ran. */
  interface Answer {
    void send(Http.Message request, Socket socket) throws IOException, InterruptedException;
  }

  final String id;
  final ServerSocket listener;
  final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
  volatile Answer answer = (request, socket) -> whole(request, socket, 200, "done");

  Upstream(String id, String host) throws IOException {
    this.id = id;
    this.listener = new ServerSocket(0, 500, InetAddress.getByName(host));
    Run.background(this::accept);
  }

  String entry(String service, String zone, String version, String state, int sequence) {
    return "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"" + zone
        + "\",\"version\":\"" + version + "\",\"slots\":64,\"state\":\"" + state
        + "\",\"cold-ms\":0,\"sequence\":" + sequence + "}";
  }

  String address() {
    return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        Run.background(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      while (true) {
        Http.Message request = Http.read(in, false);
        if (!request.whole()) {
          return;
        }
        if (request.header("Attempt-Id") == null) {
          whole(request, socket, 200, "healthy");
          continue;
        }
        if (request.header("Target-Instance") != null
            && !request.header("Target-Instance").equals(id)) {
          whole(request, socket, 421, "");
          continue;
        }
        runs.computeIfAbsent(request.header("Attempt-Id"), unused -> new AtomicInteger())
            .incrementAndGet();
        answer.send(request, socket);
      }
    } catch (IOException | InterruptedException e) {
      // The caller left.
    }
  }

  /** Sends an answer with a length. */
  void whole(Http.Message request, Socket socket, int status, String body) throws IOException {
    OutputStream out = socket.getOutputStream();
    String id = request.header("Attempt-Id");
    String head =
        "HTTP/1.1 " + status + " X\r\n" + (id == null ? "" : "Attempt-Id: " + id + "\r\n")
            + (status == 421 ? "Not-Executed: 1\r\n" : "")
            + "Instance-Id: " + this.id + "\r\nResponse-Signature: " + this.id + "." + id + "\r\nServer-Load: 1,0,64\r\n"
            + "Content-Length: " + body.length() + "\r\n\r\n";
    out.write((head + body).getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }
}
