package mintstair.pins;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.lang.reflect.Field;
import java.lang.reflect.RecordComponent;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import mintstair.config.Json;
import mintstair.config.NodeConfig;
import mintstair.config.OperatorConfig;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The keys of the configuration, of the operator's file and of the deploy file. A file with all keys is read; then
 * each key in turn is left out. One that is known is missed: the reader says so by its name, or what it read is
 * another.
 */
class SettingNamesTest {
    private static final String CONFIG = "/pins/config.json";
    private static final List<String> OPERATOR = List.of("/pins/operator-etcd.json", "/pins/operator-consul.json");
    /** Without it the reader takes the part for its other form, whose key it then misses. */
    private static final String OTHER_FORM = "record.folder";

    @TempDir
    Path folder;

    private interface Reader {
        Object read(Path file) throws IOException;
    }

    @BeforeEach
    void writeSecret() throws IOException {
        Files.writeString(folder.resolve("secret"), "secret");
    }

    private Object json(String resource) throws IOException {
        return Json.read(
                Names.text(resource).replace("$FOLDER", folder.toString()).getBytes(StandardCharsets.UTF_8));
    }

    /** What is read of this, as a text that tells all values; or "error: " and what is wrong. */
    private String read(Reader reader, Object json) throws IOException {
        Path file = Files.writeString(folder.resolve("file.json"), Json.write(json));
        try {
            return told(reader.read(file), json);
        } catch (RuntimeException e) {
            return "error: " + String.valueOf(e.getMessage()).replace(file + ": ", "");
        }
    }

    /** All values of what was read, but for the text that it was read from, if that is kept. */
    private static String told(Object value, Object json) {
        try {
            if (value == null || value.equals(json)) {
                return "-";
            } else if (value instanceof Iterable<?> list && !(value instanceof Path)) {
                List<String> each = new ArrayList<>();
                list.forEach(one -> each.add(told(one, json)));
                return each.toString();
            } else if (value instanceof Map<?, ?> map) {
                return map.entrySet().stream()
                        .map(entry -> entry.getKey() + "=" + told(entry.getValue(), json))
                        .toList()
                        .toString();
            } else if (value.getClass().isRecord()
                    || (value.getClass().getName().startsWith("mintstair.") && !(value instanceof Enum<?>))) {
                return parts(value).stream()
                        .map(part -> told(part, json))
                        .toList()
                        .toString();
            }
            return value.toString();
        } catch (ReflectiveOperationException e) {
            throw new LinkageError("an accessor of a record cannot be called", e);
        }
    }

    private static List<Object> parts(Object value) throws ReflectiveOperationException {
        List<Object> parts = new ArrayList<>();
        if (value.getClass().isRecord()) {
            for (RecordComponent each : value.getClass().getRecordComponents()) {
                each.getAccessor().setAccessible(true);
                parts.add(each.getAccessor().invoke(value));
            }
        } else {
            for (Field each : value.getClass().getFields()) {
                parts.add(each.get(value));
            }
        }
        return parts;
    }

    /** The objects in the value by their paths; of a list, those of its first element. */
    private static void objects(Object value, String path, Map<String, Map<Object, Object>> found) {
        if (value instanceof Map<?, ?> map) {
            @SuppressWarnings("unchecked")
            Map<Object, Object> object = (Map<Object, Object>) map;
            found.put(path, object);
            map.forEach((key, inner) -> objects(inner, path.isEmpty() ? key.toString() : path + "." + key, found));
        } else if (value instanceof List<?> list && !list.isEmpty()) {
            objects(list.get(0), path + "[]", found);
        }
    }

    private static Map<String, Map<Object, Object>> objects(Object json) {
        Map<String, Map<Object, Object>> found = new java.util.TreeMap<>();
        objects(json, "", found);
        return found;
    }

    /** The paths of the keys that are missed. */
    private Set<String> known(Reader reader, String resource) throws IOException {
        String whole = read(reader, json(resource));
        assertTrue(!whole.startsWith("error: "), whole);
        Set<String> known = new TreeSet<>();
        for (Map.Entry<String, Map<Object, Object>> object :
                objects(json(resource)).entrySet()) {
            for (Object key : object.getValue().keySet()) {
                Object json = json(resource);
                Object removed = objects(json).get(object.getKey()).remove(key);
                String read = read(reader, json);
                String path = object.getKey().isEmpty() ? key.toString() : object.getKey() + "." + key;
                boolean told = !read.startsWith("error: ") || path.equals(OTHER_FORM) || names(read, key, removed);
                assertTrue(told, path + " is missing, but is not named: " + read);
                if (!read.equals(whole)) {
                    known.add(path);
                }
            }
        }
        return known;
    }

    /** Whether the error names the key, or one that was in what is missing. */
    private static boolean names(String error, Object key, Object removed) {
        return error.contains(key.toString())
                || (removed instanceof Map<?, ?> map
                        && map.keySet().stream().anyMatch(inner -> error.contains(inner.toString())));
    }

    /** Each object's path, and what becomes of a key in it that nobody knows. */
    private List<String> unknown(Reader reader, String resource) throws IOException {
        String whole = read(reader, json(resource));
        List<String> found = new ArrayList<>();
        for (String path : objects(json(resource)).keySet()) {
            Object json = json(resource);
            objects(json).get(path).put("unknownKey", 1.0);
            String read = read(reader, json);
            found.add((path.isEmpty() ? "(file)" : path) + " " + effect(read, whole));
        }
        return found;
    }

    /** What an unknown key has done to a file that reads as {@code whole} without it. */
    private static String effect(String read, String whole) {
        if (read.equals(whole)) {
            return "ignored";
        }
        return read.startsWith("error: ") ? "refused" : "taken";
    }

    @Test
    void configurationHasTheseKeys() throws IOException {
        Names.assertSame("/pins/config-keys.txt", known(NodeConfig::read, CONFIG));
    }

    @Test
    void operatorsFileHasTheseKeys() throws IOException {
        Set<String> known = new TreeSet<>();
        for (String resource : OPERATOR) {
            known.addAll(known(OperatorConfig::read, resource));
        }
        Names.assertSame("/pins/operator-keys.txt", known);
    }

    @Test
    void unknownKeysAreIgnoredOrRefusedAsEver() throws IOException {
        Set<String> found = new TreeSet<>(unknown(NodeConfig::read, CONFIG));
        for (String resource : OPERATOR) {
            unknown(OperatorConfig::read, resource).forEach(line -> found.add("operator: " + line));
        }
        Names.assertSame("/pins/unknown-keys.txt", found);
    }

    /** Each line of the resource is a path and the words that may stand there: all are read, and no two as the same. */
    @Test
    void valuesAreTheseWords() throws IOException {
        for (String line : Names.expected("/pins/config-words.txt")) {
            String[] words = line.split(" ");
            Set<String> read = new TreeSet<>();
            for (String word : List.of(words).subList(1, words.length)) {
                read.add(withWord(words[0], word));
            }
            assertEquals(words.length - 1, read.size(), line);
        }
    }

    private String withWord(String path, String word) throws IOException {
        boolean operator = path.startsWith("operator:");
        Object json = json(operator ? OPERATOR.get(0) : CONFIG);
        String inner = path.replace("operator:", "");
        boolean ofList = inner.endsWith("[]");
        int dot = inner.lastIndexOf('.');
        Map<Object, Object> object = objects(json).get(dot < 0 ? "" : inner.substring(0, dot));
        String key = inner.substring(dot + 1).replace("[]", "");
        if (ofList) {
            List<Object> changed = new ArrayList<>((List<?>) object.get(key));
            changed.set(0, word);
            object.put(key, changed);
        } else {
            object.put(key, word);
        }
        String read = read(operator ? OperatorConfig::read : NodeConfig::read, json);
        assertTrue(!read.startsWith("error: "), path + " " + word + ": " + read);
        return read;
    }

    @Test
    void deployFileHasTheseKeysAndCommands() throws IOException {
        List<String> lines = Files.readAllLines(Path.of("deploy", "balancer.toml"));
        Names.assertSame(
                "/pins/deploy.txt",
                lines.stream()
                        .map(line -> line.startsWith("policy") || line.startsWith("node")
                                ? line.replaceAll("=.*", "=")
                                : line)
                        .toList());
        for (String line : lines) {
            for (String path : line.startsWith("policy") || line.startsWith("node")
                    ? line.replaceAll(".*\\[|\\].*", "").split(",")
                    : new String[0]) {
                assertTrue(Files.exists(Path.of(path.strip().replace("\"", ""))), path);
            }
        }
        assertEquals(
                Set.of("build", "run", "sim", "policy", "node", "packages"),
                lines.stream().map(line -> line.replaceAll(" *=.*", "")).collect(Collectors.toSet()));
    }

    /** The files in the repository that show settings have no key that is not pinned. */
    @Test
    void examplesUsePinnedKeysOnly() throws IOException {
        Set<String> known = new TreeSet<>(Names.expected("/pins/config-keys.txt"));
        known.addAll(Names.expected("/pins/config-keys-of-others.txt"));
        known.addAll(Names.expected("/pins/operator-keys.txt"));
        try (Stream<Path> files = Files.list(Path.of("deploy"))) {
            List<Path> shown = new ArrayList<>(
                    files.filter(file -> file.toString().endsWith(".json")).toList());
            shown.add(Path.of("example", "config.json"));
            for (Path file : shown) {
                objects(Json.read(Files.readAllBytes(file)))
                        .forEach((path, object) -> object.keySet().forEach(key -> {
                            String whole = path.isEmpty() ? key.toString() : path + "." + key;
                            assertTrue(
                                    known.contains(whole) || whole.startsWith("store.members."), file + ": " + whole);
                        }));
            }
        }
    }
}
