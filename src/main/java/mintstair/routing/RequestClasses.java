package mintstair.routing;

import mintstair.config.InstanceSettings;
import mintstair.decision.Consistency;
import mintstair.decision.RequestClass;

/**
 * The request classes of the current settings, by name. All methods except {@link #contains} require the name of a
 * class that exists. Not thread-safe.
 */
public final class RequestClasses {
    private InstanceSettings settings;

    RequestClasses(InstanceSettings settings) {
        this.settings = settings;
    }

    void apply(InstanceSettings newSettings) {
        settings = newSettings;
    }

    /** Returns whether the settings define a request class of this name. */
    public boolean contains(String name) {
        return settings.classIndexes.containsKey(name);
    }

    /** Returns whether requests of this class are writes. */
    public boolean isWrite(String name) {
        return get(name).consistency() == Consistency.WRITE;
    }

    /** Returns the timeout of requests of this class that do not specify one, in microseconds. */
    public long deadlineMicros(String name) {
        return get(name).deadlineMicros();
    }

    /** Returns the index of the class in the settings, by which the decision module refers to it. */
    int indexOf(String name) {
        return settings.classIndexes.get(name);
    }

    RequestClass get(String name) {
        return settings.routerSettings.classes().get(indexOf(name));
    }
}
