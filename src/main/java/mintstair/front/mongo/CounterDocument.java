package mintstair.front.mongo;

import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.bson.BsonDocument;
import org.bson.BsonInt64;

/** Converts the line of counters into a document: counts as numbers, and counts by reason as nested documents. */
final class CounterDocument {
    private static final Pattern COUNTER = Pattern.compile("(\\w+)=(?:(-?\\d+)|\\{([^}]*)\\})");

    private CounterDocument() {}

    /** Parses the counters of a line such as {@code served=3 clients_ended={left=1, quit=2}}. */
    static BsonDocument parse(String line) {
        BsonDocument counters = new BsonDocument();
        Matcher counter = COUNTER.matcher(line);
        while (counter.find()) {
            String number = counter.group(2);
            counters.append(
                    counter.group(1), number == null ? parse(counter.group(3)) : new BsonInt64(Long.parseLong(number)));
        }
        return counters;
    }
}
