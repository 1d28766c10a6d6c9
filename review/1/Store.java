import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/**
 * A small stand-in of the platform's store: lists, watches, reads and conditional writes of the
 * status. It keeps each object as JSON text; the operator of the test calls {@link #put}.
 */
final class Store {
  private record Item(String name, long created, long revision, String spec, String status) {}

  private record Change(long revision, String kind, Item item, boolean deleted) {}

  /** A watch answers with all events since; with LIMIT_EVENTS=1, with about a megabyte at most. */
  private static final int PAGE_BYTES =
      "1".equals(System.getenv("LIMIT_EVENTS")) ? 1_000_000 : Integer.MAX_VALUE;

  private final Map<String, TreeMap<String, Item>> kinds = new LinkedHashMap<>();
  private final List<Change> history = new ArrayList<>();
  private final HttpServer server;
  private long revision = 100;
  private boolean closed;
  int calls;

  Store(String host) throws IOException {
    server = HttpServer.create(new InetSocketAddress(host, 0), 200);
    server.setExecutor(Executors.newCachedThreadPool(Run.daemonThreads()));
    server.createContext("/", this::handle);
    server.start();
  }

  String address() {
    return server.getAddress().getAddress().getHostAddress() + ":" + server.getAddress().getPort();
  }

  /** Writes the spec of an object and returns when the write is acknowledged. */
  synchronized void put(String kind, String name, String spec) {
    TreeMap<String, Item> objects = kinds.computeIfAbsent(kind, unused -> new TreeMap<>());
    Item known = objects.get(name);
    if (known != null && known.spec.equals(spec)) {
      return;
    }
    revision++;
    Item item =
        new Item(
            name,
            known == null ? revision : known.created,
            revision,
            spec,
            known == null ? "null" : known.status);
    objects.put(name, item);
    history.add(new Change(revision, kind, item, false));
    notifyAll();
  }

  synchronized void delete(String kind, String name) {
    Item known = kinds.getOrDefault(kind, new TreeMap<>()).remove(name);
    if (known != null) {
      revision++;
      history.add(new Change(revision, kind, known, true));
      notifyAll();
    }
  }

  synchronized String status(String kind, String name) {
    Item item = kinds.getOrDefault(kind, new TreeMap<>()).get(name);
    return item == null ? "null" : item.status;
  }

  void stop() {
    synchronized (this) {
      closed = true;
      notifyAll();
    }
    server.stop(0);
  }

  private static String json(Item item) {
    return "{\"metadata\":{\"name\":\"" + item.name + "\",\"revision\":" + item.revision
        + ",\"created\":" + item.created + ",\"finalizers\":[],\"deleting\":false},\"spec\":"
        + item.spec + ",\"status\":" + item.status + "}";
  }

  private void handle(HttpExchange exchange) throws IOException {
    try {
      String[] path = exchange.getRequestURI().getPath().split("/");
      Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
      byte[] body = exchange.getRequestBody().readAllBytes();
      calls++;
      if (path.length < 3) {
        answer(exchange, 404, "{}");
      } else if (exchange.getRequestMethod().equals("GET") && path.length == 3) {
        if (query.containsKey("watch")) {
          watch(exchange, path[2], query);
        } else {
          answer(exchange, 200, list(path[2], query.get("since-rev")));
        }
      } else if (exchange.getRequestMethod().equals("GET")) {
        Item item;
        synchronized (this) {
          item = kinds.getOrDefault(path[2], new TreeMap<>()).get(path[3]);
        }
        answer(exchange, item == null ? 404 : 200, item == null ? "{}" : json(item));
      } else {
        writeStatus(exchange, path, new String(body, StandardCharsets.UTF_8));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      exchange.close();
    }
  }

  private synchronized String list(String kind, String after) {
    TreeMap<String, Item> objects = kinds.getOrDefault(kind, new TreeMap<>());
    StringBuilder items = new StringBuilder();
    for (Item item : after == null ? objects.values() : objects.tailMap(after, false).values()) {
      items.append(items.length() == 0 ? "" : ",").append(json(item));
    }
    return "{\"items\":[" + items + "],\"more-pages\":false,\"as-of\":" + revision + "}";
  }

  private void watch(HttpExchange exchange, String kind, Map<String, String> query)
      throws IOException, InterruptedException {
    long since = Long.parseLong(query.get("watch"));
    long until = System.nanoTime() + Long.parseLong(query.get("wait-ms")) * 1_000_000;
    StringBuilder events = new StringBuilder();
    long asOf;
    synchronized (this) {
      while (true) {
        long lastRevision = Long.MAX_VALUE;
        for (Change change : history) {
          if (change.revision > since && change.kind.equals(kind)) {
            if (events.length() > 0 && events.length() + (long) change.item.spec.length() > PAGE_BYTES) {
              lastRevision = Math.min(lastRevision, change.revision - 1);
              break;
            }
            events.append(events.length() == 0 ? "" : ",")
                .append("{\"deleted\":" + change.deleted + ",\"object\":" + json(change.item) + "}");
          }
        }
        asOf = Math.min(revision, lastRevision);
        long left = (until - System.nanoTime()) / 1_000_000;
        if (events.length() > 0 || left <= 0 || closed) {
          break;
        }
        wait(left);
      }
    }
    answer(exchange, 200, "{\"events\":[" + events + "],\"as-of\":" + asOf + "}");
  }

  private void writeStatus(HttpExchange exchange, String[] path, String body) throws IOException {
    int status;
    String text;
    synchronized (this) {
      TreeMap<String, Item> objects = kinds.getOrDefault(path[2], new TreeMap<>());
      Item item = objects.get(path[3]);
      if (item == null) {
        status = 404;
        text = "{}";
      } else if (!body.contains("\"revision\":" + item.revision)) {
        status = 409;
        text = json(item);
      } else {
        revision++;
        String written = body.substring(body.indexOf("\"status\":") + 9, body.length() - 1);
        Item next = new Item(item.name, item.created, revision, item.spec, written);
        objects.put(item.name, next);
        history.add(new Change(revision, path[2], next, false));
        notifyAll();
        status = 200;
        text = json(next);
      }
    }
    answer(exchange, status, text);
  }

  private static Map<String, String> query(String text) {
    Map<String, String> values = new LinkedHashMap<>();
    for (String part : text == null ? new String[0] : text.split("&")) {
      int equals = part.indexOf('=');
      if (equals > 0) {
        values.put(part.substring(0, equals), part.substring(equals + 1));
      }
    }
    return values;
  }

  private static void answer(HttpExchange exchange, int status, String text) throws IOException {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, bytes.length);
    exchange.getResponseBody().write(bytes);
  }
}
