import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** A store, instances and servers on loopback. */
final class Deployment {
  final Store store;
  final List<Run.Instance> instances = new ArrayList<>();
  final List<Upstream> upstreams = new ArrayList<>();

  Deployment(int instanceCount, int upstreamCount) throws IOException {
    store = new Store("127.0.0.1");
    for (int i = 0; i < upstreamCount; i++) {
      Upstream upstream = new Upstream("i-" + i, "127.0.0.1");
      upstreams.add(upstream);
      store.put("servers", upstream.id, upstream.entry("desk", "hall-a", "v1", "ready", 1));
    }
    for (int i = 0; i < instanceCount; i++) {
      instances.add(new Run.Instance("front-hall-a-" + (i + 1), "127.0.0.1"));
    }
  }

  static String route(String name, String prefix, String kind, int timeout, int attempts) {
    return "{\"name\":\"" + name + "\",\"host\":\"shop.example\",\"path-prefix\":\"" + prefix
        + "\",\"kind\":\"" + kind + "\",\"timeout-ms\":" + timeout
        + ",\"goal-ms\":1000,\"priority\":1,\"weighted-backends\":[{\"service\":\"desk\",\"weight\":100}],"
        + "\"max-attempts\":" + attempts + ",\"public\":false,\"sticky\":false,\"resumable\":"
        + kind.equals("streaming") + ",\"gap-aim-ms\":1200}";
  }

  static String configuration(int version, String extraRoutes) {
    return "{\"version\":" + version + ",\"routes\":["
        + route("safe", "/safe/", "safe", 8000, 2) + "," + route("unsafe", "/unsafe/", "unsafe", 8000, 1)
        + "," + route("stream", "/stream/", "streaming", 20000, 3) + extraRoutes
        + "],\"services\":[{\"name\":\"desk\",\"max-connections\":500,\"health-path\":\"/health\"}],"
        + "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":5000,"
        + "\"idle-timeout-ms\":30000},\"tenants\":[{\"name\":\"t1\",\"api-keys\":[\"key-one\"]}]}";
  }

  void start() throws IOException, InterruptedException {
    store.put("config", "main", configuration(1, ""));
    for (Run.Instance instance : instances) {
      instance.render("hall-a", store.address(), instances.subList(0, Math.min(3, instances.size())));
      instance.start();
    }
    for (Run.Instance instance : instances) {
      if (!instance.awaitReady(30)) {
        Run.end(2, instance.name + " did not become ready");
      }
    }
  }
}
