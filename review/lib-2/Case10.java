import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A proxy that records its clients into one file is killed and started again. What it had recorded has to be there. */
final class Case10 {
    private static final int REQUESTS = 40;

    private Case10() {}

    public static void main(String[] args) throws Exception {
        Rig rig = new Rig(args[0]);
        Replicated group = new Replicated(rig, 2);
        Discovery discovery = new Discovery(group.targets());
        int listen = Rig.freePort();
        int control = Rig.freePort();
        Path file = rig.folder.resolve("clients.pcap");
        Path config = rig.write(
                "config.json",
                rig.config("n0", listen, control, discovery.port, Rig.list(1, group.targets()), Rig.settings(1)));
        Path operator = rig.write("operator.json", "{\"record\":{\"file\":\"" + file + "\"}}");
        Rig.Proxy proxy = rig.start("n0", config, control, operator);
        if (!proxy.awaitReady(20_000)) {
            Rig.end(rig, 2, "the program was not ready");
        }
        int served = 0;
        try (Pg.Client client = new Pg.Client(listen)) {
            for (int i = 0; i < REQUESTS; i++) {
                Pg.Answer answer = client.ask(
                        "SELECT payload FROM entries WHERE ref = 'key" + i + "' /* id=a" + i + ",c=lobby-read,d=1000,cluster=1 */", 3000);
                rig.note("request a" + i + ": " + answer.kind());
                served += answer.kind().equals("served") ? 1 : 0;
            }
        }
        Thread.sleep(3000);
        int before = requestsIn(rig, file, listen);
        if (served < REQUESTS || before < REQUESTS) {
            Rig.end(rig, 2, "served " + served + ", recorded " + before);
        }
        if (Rig.TROUBLE) {
            proxy.signal("KILL");
            proxy.process.waitFor();
            if (!rig.start("n0-again", config, control, operator).awaitReady(20_000)) {
                Rig.end(rig, 2, "the program was not ready again");
            }
        }
        Thread.sleep(2000);
        int after = requestsIn(rig, file, listen);
        Rig.end(
                rig,
                after < REQUESTS ? 1 : 0,
                "of " + before + " requests that could be read from the recording, " + after + " can be read now");
    }

    /** How many requests the program itself reads from the recording. */
    private static int requestsIn(Rig rig, Path file, int port) throws Exception {
        String info = rig.command(new byte[0], "traffic", "info", "--port", Integer.toString(port), file.toString());
        rig.note(Files.size(file) + " bytes: " + info.replace('\n', ';'));
        Matcher requests = Pattern.compile("requests=(\\d+)").matcher(info);
        return requests.find() ? Integer.parseInt(requests.group(1)) : -1;
    }
}
