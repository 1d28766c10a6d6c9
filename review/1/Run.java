import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.HttpURLConnection;
import java.net.ServerSocket;
import java.net.InetAddress;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ThreadFactory;
import java.util.stream.Stream;

/** Starts instances as the deploy file says, and writes the record of a case. */
final class Run {
  static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
  private static final long START = System.nanoTime();
  private static final List<Process> processes = new ArrayList<>();
  private static final Set<Integer> usedPorts = new HashSet<>();
  private static PrintWriter record;

  private Run() {}

  static ThreadFactory daemonThreads() {
    return task -> {
      Thread thread = new Thread(task);
      thread.setDaemon(true);
      return thread;
    };
  }

  static Thread background(Runnable task) {
    Thread thread = daemonThreads().newThread(task);
    thread.start();
    return thread;
  }

  static double now() {
    return (System.nanoTime() - START) / 1e9;
  }

  static synchronized void log(String format, Object... values) {
    try {
      if (record == null) {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(System.getenv("RECORD"))), true);
      }
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
    record.println(String.format("%8.3f  ", now()) + String.format(format, values));
  }

  /** Returns a free port that was not returned before. */
  static int freePort(String host) throws IOException {
    while (true) {
      try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
        if (usedPorts.add(socket.getLocalPort())) {
          return socket.getLocalPort();
        }
      }
    }
  }

  /** One instance of the system. */
  static final class Instance {
    final String name;
    final String host;
    final int callers;
    final int readiness;
    final int control;
    final int forwarding;
    final int metrics;
    Path settings;
    Process process;

    Instance(String name, String host) throws IOException {
      this.name = name;
      this.host = host;
      this.callers = freePort(host);
      this.readiness = freePort(host);
      this.control = freePort(host);
      this.forwarding = freePort(host);
      this.metrics = freePort(host);
    }

    /** Fills the template of the deploy file with the settings of a small deployment. */
    void render(String zone, String platform, List<Instance> seeds) throws IOException {
      String text = Files.readString(root().resolve("deploy/settings.json.template"));
      StringBuilder list = new StringBuilder();
      for (Instance seed : seeds) {
        list.append(list.length() == 0 ? "" : ",")
            .append('"').append(seed.host + ":" + seed.control).append('"');
      }
      text =
          text.replaceAll("\\{\\{#seeds}}.*\\{\\{/seeds}}", list.toString())
              .replace("{{node}}", name)
              .replace("{{zone}}", zone)
              .replace("{{listen.front}}", host + ":" + callers)
              .replace("{{listen.ready}}", host + ":" + readiness)
              .replace("{{listen.control}}", host + ":" + control)
              .replace("{{port-range.0}}", "" + forwarding)
              .replace("{{port-range.1}}", "" + metrics)
              .replace("{{platform.address}}", platform)
              .replace("{{bounds.grace-s}}", "8")
              .replace("{{bounds.budget-ratio}}", "0.9")
              .replace("{{bounds.budget-slack}}", "52")
              .replace("{{bounds.expose-share}}", "0.15")
              .replace("{{bounds.session-s}}", "5")
              .replace("{{bounds.config-ms}}", "2000")
              .replace("{{bounds.drain-ms}}", "2000")
              .replaceAll("\\{\\{[^}]*}}", "");
      settings = Path.of(System.getenv("WORK")).resolve(name + ".json");
      Files.writeString(settings, text);
    }

    void start() throws IOException {
      String deploy = Files.readString(root().resolve("deploy/system.toml"));
      int from = deploy.indexOf("run = \"") + 7;
      List<String> command =
          new ArrayList<>(Arrays.asList(deploy.substring(from, deploy.indexOf('"', from)).split(" ")));
      ProcessBuilder builder = new ProcessBuilder(command).directory(root().toFile());
      builder.environment().put("OATLUG_BOOT", settings.toString());
      File output = Path.of(System.getenv("WORK")).resolve(name + ".log").toFile();
      builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(output));
      process = builder.start();
      processes.add(process);
      log("start %s, process %d", name, process.pid());
    }

    boolean isReady() {
      try {
        HttpURLConnection connection =
            (HttpURLConnection) new URL("http://" + host + ":" + readiness + "/ready").openConnection();
        connection.setConnectTimeout(500);
        connection.setReadTimeout(1000);
        return connection.getResponseCode() == 200;
      } catch (IOException e) {
        return false;
      }
    }

    boolean awaitReady(double seconds) throws InterruptedException {
      double until = now() + seconds;
      while (now() < until) {
        if (isReady()) {
          log("%s is ready", name);
          return true;
        }
        Thread.sleep(50);
      }
      return false;
    }

    /** Returns the number of lines of the instance's log that have the text. */
    long logLines(String text) throws IOException {
      try (Stream<String> lines =
          Files.lines(
              Path.of(System.getenv("WORK")).resolve(name + ".log"), StandardCharsets.ISO_8859_1)) {
        return lines.filter(line -> line.contains(text)).count();
      }
    }

    void signal(String signal) throws IOException, InterruptedException {
      log("SIG%s to %s", signal, name);
      new ProcessBuilder("kill", "-" + signal, "" + process.pid()).start().waitFor();
    }
  }

  static Path root() {
    return Path.of(System.getenv("ROOT"));
  }

  /** Ends all instances and the test. */
  static void end(int code, String why) throws InterruptedException {
    log("%s: %s", code == 0 ? "HELD" : code == 1 ? "BROKEN" : "COULD NOT RUN", why);
    for (Process process : processes) {
      process.destroyForcibly();
      process.waitFor();
    }
    System.out.println((code == 0 ? "held: " : code == 1 ? "broken: " : "could not run: ") + why);
    Runtime.getRuntime().halt(code);
  }
}
