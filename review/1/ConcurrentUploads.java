import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients upload bodies of 2.2 MB on an unsafe route, all at once (with trouble) or one after
 * another (without). A server that runs an upload compares the body with the one that was sent.
 */
public final class ConcurrentUploads {
  /** The clients of one zone of the site. */
  private static final int CLIENTS = 32;

  private static final int ROUNDS = 12;

  /** Little more than half of max-body-bytes, 4,194,304. */
  private static final int BODY_BYTES = 2_200_000;

  private static final int WORK_MILLIS = 100;
  private static final int DEADLINE_MILLIS = 8000;

  /** Seconds after the start of the test; a round lasts 10 seconds at most. */
  private static final double LAST_ROUND_BEGINS = 85;

  private static final byte[] body = new byte[BODY_BYTES];
  private static final AtomicInteger changed = new AtomicInteger();
  private static final AtomicInteger unchanged = new AtomicInteger();
  private static final Map<String, Integer> outcomes = new TreeMap<>();

  private ConcurrentUploads() {}

  public static void main(String[] arguments) throws Exception {
    for (int i = 0; i < BODY_BYTES; i++) {
      // The text tells at which offset bytes are missing.
      body[i] = (byte) ("0123456789abcdef".charAt((i >> 4 * (7 - i % 8)) & 15));
    }
    Deployment deployment = new Deployment(2, 3);
    for (Upstream upstream : deployment.upstreams) {
      upstream.answer =
          (request, socket) -> {
            compare(upstream, request);
            Thread.sleep(WORK_MILLIS);
            upstream.whole(request, socket, 200, "done");
          };
    }
    deployment.start();
    Run.Instance instance = deployment.instances.get(0);
    for (int round = 0; round < ROUNDS; round++) {
      List<Thread> clients = new ArrayList<>();
      for (int client = 0; client < CLIENTS; client++) {
        String id = "upload-" + round + "-" + client;
        Thread thread = Run.background(() -> upload(instance, id));
        clients.add(thread);
        if (!Run.TROUBLE) {
          thread.join();
        }
      }
      for (Thread client : clients) {
        client.join();
      }
      Run.log("%s logged %d lines with OutOfMemoryError", instance.name,
          instance.logLines("OutOfMemoryError"));
      Run.log("round %d: %s, bodies run unchanged %d, changed %d", round, outcomes, unchanged.get(),
          changed.get());
      if (changed.get() > 0 || Run.now() > LAST_ROUND_BEGINS || !Run.TROUBLE && round == 3) {
        break;
      }
    }
    if (unchanged.get() + changed.get() == 0) {
      Run.end(2, "no upload ran");
    }
    Run.end(
        changed.get() > 0 ? 1 : 0,
        "UNASKED: servers ran " + changed.get() + " uploads with another body, " + unchanged.get()
            + " with their own; clients saw " + outcomes);
  }

  private static void compare(Upstream upstream, Http.Message request) {
    if (Arrays.equals(request.body(), body)) {
      unchanged.incrementAndGet();
      return;
    }
    changed.incrementAndGet();
    Run.log(
        "server %s runs %s with a body of %d bytes, the client's has %d; first difference at %d",
        upstream.id, request.header("Attempt-Id"), request.body().length, BODY_BYTES,
        Arrays.mismatch(request.body(), body));
  }

  private static void upload(Run.Instance instance, String id) {
    String outcome;
    try (Client client = new Client(instance.host, instance.callers)) {
      client.send(Client.head("POST", "/unsafe/order", id, DEADLINE_MILLIS, BODY_BYTES));
      client.socket.getOutputStream().write(body);
      Http.Message answer = client.read(DEADLINE_MILLIS + 2000);
      boolean signed = answer.header("Response-Signature") != null;
      outcome = answer.status() + (signed ? " of a server" : "");
    } catch (IOException e) {
      outcome = "no answer: " + e.getMessage();
    }
    Run.log("%s: %s", id, outcome);
    synchronized (outcomes) {
      outcomes.merge(outcome, 1, Integer::sum);
    }
  }
}
